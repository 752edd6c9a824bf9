"""Every constant of the service, with its unit and the reason for its value.

What a site decides (lease lengths, rate limits, machine types, objectives) is not here: it is
read from the settings file or requested from the cloud at run time. A unit stands in the name
(`_S` seconds, `_BYTES`) or first in the comment.
"""

# --- HTTP ---------------------------------------------------------------------------------------
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit for request bodies
# Users poll every 5 s and workers send heartbeats every 3 s: a longer idle connection is abandoned.
IDLE_CONNECTION_TIMEOUT_S = 40.0
REQUEST_RECEIVE_TIMEOUT_S = 10.0  # only slow or broken clients take longer to send a request
CONNECTION_SWEEP_INTERVAL_S = 5.0  # one timer closes all idle and slow connections
CALLER_SOCKET_SHARE = 0.75  # of the socket limit, for connections from workers and users
# Share of these connections in use: above it workers' connections close after each response.
NEAR_CONNECTION_LIMIT_SHARE = 0.85
PEER_SOCKET_SHARE = 0.1  # of the socket limit, for connections from other controllers
# Of the socket limit, for direct commands to workers. The rest is for other outgoing requests.
DIRECT_COMMAND_SOCKET_SHARE = 0.1
CONNECT_TIMEOUT_S = 1.0  # connecting across a network partition hangs without an error
POOL_MAX_IDLE_S = 20.0  # a pooled connection that was idle for longer is not reused

# --- request queue: maximum wait for admission under overload ------------------------------------
HEARTBEAT_QUEUE_TIMEOUT_S = 3.0  # a worker waits 4 s for the response
WRITE_QUEUE_TIMEOUT_S = 3.5  # a user waits 5 s for the response to a submission or cancellation
QUERY_QUEUE_TIMEOUT_S = 1.2  # a user waits 2 s for the response to a poll

# --- state service ------------------------------------------------------------------------------
STORE_TIMEOUT_S = 1.5  # responses take 10 ms, occasionally a few hundred
# Share of the request burst that reads leave to commits: otherwise the reads caused by polls can
# starve all commits.
READ_RATE_RESERVE = 0.25
STORE_RETRY_S = 0.25  # pause after 429, 503 or no response; limits the requests in an outage
LEADER_RPS_SHARE = 0.4  # of the request rate; the rest is for watches and reads of followers
LEADER_WRITE_SHARE = 0.75  # of the write rate; the rest is for followers while no leader answers
FINAL_STATUS_CACHE_JOBS = 20_000  # jobs whose final status is cached, some 300 bytes each
DEFERRED_POLL_S = 0.25  # between checks whether the write rate has capacity for deferred writes
# Deferred writes with a bounded wait are written after this even without spare capacity: workers
# report an exited task until its end is stored, and the size of a heartbeat is limited.
DEFERRED_MAX_WAIT_S = 3.0
# Jobs of one record that are archived in one mutation: together with the rewritten record no more
# operations than a busy state service has to spare.
ARCHIVE_BATCH_JOBS = 3
WATCH_HOLD_S = 6.0  # a silent partition is noticed after this plus the timeout
VALUE_SIZE_SHARE = 0.85  # of value_kb is used: the service measures values in another encoding
# Operations of the largest indivisible transaction: a job's final status, the record without the
# job, and the record in which another controller accepted it.
MIN_TRANSACTION_OPS = 3
# Refusals of one transaction for its rate, STORE_RETRY_S apart. A full burst builds up within one
# second, so a transaction refused for longer has more operations than the rate ever allows.
MAX_RATE_REFUSALS = 8
TXN_CONDITIONS_PER_OP = 4  # limit of conditions in one transaction, times txn_ops (protocol)
MAX_TXN_BYTES = 48 * 1024  # of one transaction, with a margin to the protocol's 64 KiB

# --- leadership ---------------------------------------------------------------------------------
LEADER_LEASE_TTL_S = 3.0  # failover waits this long; one slow renewal must not lose leadership
LEADER_RENEW_S = 0.7  # four attempts to renew fit into one lease
CLOCK_DRIFT = 0.0005  # part; the steady clocks of two machines differ by up to 0.05%
LEADER_LEASE_MARGIN_S = 0.3  # a message sent just before expiry must have left by then
CAMPAIGN_JITTER_S = 0.25  # spreads the candidates, so that the first attempt usually wins
CAMPAIGN_REFUSED_RETRY_S = 2.0  # between campaigns that fail until operators change a setting
RESIGN_BACKOFF_S = 25.0  # a leader that workers could not reach does not campaign for this long
LEADERLESS_BACKOFF_S = 6.0  # ... unless there has been no leader for this long

# --- workers ------------------------------------------------------------------------------------
LEASE_EXPIRY_MARGIN_S = 1.0  # over the lease and the drift, for late timers of this process
TICK_S = 1.0  # between checks of leases; capacity is freed at most this much late
# Heartbeat intervals without a heartbeat: from then on a machine gets no new work.
SUSPECT_HEARTBEATS = 3.0
SUSPECT_LEASE = 0.5  # of the worker's lease, if that is less: heartbeats may be far apart
STALL_S = 3.0  # ticks that are further apart mean that this process was stalled
# Heartbeat intervals, which vary by a quarter: a machine with replicas that is silent for longer
# has missed a heartbeat and is probed.
PROBE_AFTER_HEARTBEATS = 1.4
PROBE_TRIES = 2  # probes without a response, one after the other: then the machine counts as lost
PROBE_TIMEOUT_S = 1.0  # a live machine responds within milliseconds
# Heartbeat intervals within which most machines must have reported, or this controller may itself
# be partitioned and no probe counts.
PROBE_RECENT_HEARTBEATS = 1.3
# Share of the machines that "most" means there: a partitioned zone is mostly more than the rest.
PROBE_MIN_LIVE_SHARE = 0.7
# Heartbeat intervals without a heartbeat: then deleting the machine frees its tasks before their
# lease does.
LOST_HEARTBEATS = 5.0
LOST_LEASE = 0.6  # of the worker's lease, if that is less: later, the lease would expire as soon
# Share of the machines that neither reach this leader nor receive its responses: it resigns.
UNREACHABLE_SHARE = 0.5
# Share of the machines that must be live before silence is blamed on a single machine. One that
# is alive across a partition of ours sends heartbeats to another controller, which tells us.
MIN_LIVE_SHARE = 0.3
CERTAIN_LIVE_SHARE = 0.8  # live share above which a machine that only others hear is deleted
HEARTBEAT_HOLD_S = 1.5  # a heartbeat waits so long for a leader in recovery (worker's limit 4 s)
UNHEALTHY_FAILED_JOBS = 3  # different jobs that failed in a row before a machine is quarantined
FAILING_JOB_MACHINES = 2  # on which a job failed that succeeded nowhere: probably its own fault
WIDESPREAD_FAILURE_MACHINES = 3  # on which a job failed that had succeeded before
FAILING_JOBS_KEPT = 200  # entries of the record that a new leader reads
FAILING_JOB_BYTES = 48  # of one entry: an id has up to 32
SUCCESS_RUNTIME_S = 5.0  # a task that fails by itself fails early: running for longer is success
AVOID_MACHINES = 3  # machines that a job which failed there avoids, at most
ERROR_BACKOFF_S = 2.0  # doubled with each failed start of a failing job
ERROR_BACKOFF_MAX_S = 60.0  # a failing job stays until its user cancels it
CHECKPOINT_GRACE_S = 3.0  # added to the time that a task needs for a checkpoint
# Records over which the machines' image caches are spread, at least: a wave of new images on
# hundreds of machines costs no more writes than this.
CACHE_RECORDS = 64
# Bytes of one machine's entry in such a record, at least: its name and about four images.
CACHE_BYTES = 130
FORGET_CACHES_S = 60.0  # after failover every live machine has sent a heartbeat or is listed
# Tasks in one heartbeat, exited ones included, and commands in one response: each takes about 80
# bytes of the protocol's 64 KiB, and a machine whose heartbeat is too large would be lost.
MACHINE_TASKS = 600
# Age at which a decoded task status that no heartbeat repeats is dropped. Each takes some 700
# bytes, so memory follows what the machines report.
TASK_STATUS_CACHE_S = 30.0
DELETED_MEMORY_S = 1800.0  # late copies of a deleted machine's heartbeats come minutes late
# A second and core: direct start commands for tasks that could wait for their machine's next
# heartbeat, at most. Each costs the leader about as much as a heartbeat.
DEFERRABLE_COMMANDS = 40.0
GC_OBJECTS = 20_000  # new objects between runs of the cycle collector: asyncio makes few cycles
DIRECT_TIMEOUT_S = 2.0  # a direct command without a response is repeated by the next heartbeat

# --- placement ----------------------------------------------------------------------------------
ROUND_GAP_S = 0.2  # least distance of two rounds: what arrives together is decided together
ROUND_LOAD = 6.0  # times the last round's duration is left between rounds: batches widen with load
ROUND_SLICE_S = 0.01  # a round yields to the event loop after deciding for so long
ROUND_COMPACT_S = 60.0  # most rounds are over by then, and deleted without a further write
ROUND_COMPACT_FACTOR = 4  # a record that names so many times the live attempts is worth a write
ROUND_IDLE_S = 2.0  # a round also runs this often, since deadlines and health change with time
SHAPE_MEMORY_S = 180.0  # capacity is spared for the next gang of a class seen this recently
STABLE_START_S = 31.0  # a start that is stopped within 30 s does not count for the objectives
# Times the checkpoint time: a task that checkpoints by itself so often loses, with half an
# interval, at most twice as long as a checkpoint would delay the preempting job.
CHECKPOINT_WORTH = 4.0
RESTART_S = 10.0  # what a preempted task loses besides work: queueing, a start, perhaps a fetch
# Replicas of any jobs on one machine before other machines are preferred, so that its end costs
# few of them. With less, more would have to fetch their image and start late.
REPLICAS_TOGETHER = 8
JOB_SIZE_WEIGHT = 3.0  # times the seconds a job would fill the fleet are added to its latest start
CANARY_DELAY_S = 1e6  # canaries of failing jobs come after all other jobs of their priority
# A job none of whose tasks has been placed for so long goes before all others: the largest must
# begin within four minutes, however many smaller ones come.
STARVING_S = 150.0
GANG_STARVING_STEP_S = 10.0  # for each task of a gang but one, it counts as starving so much sooner
GANG_STARVING_MOST_S = 90.0  # ... at most
ESTIMATE_FLOOR = 0.3  # of the estimate is expected to remain of a task that outlives it
FETCH_WORTH_S = 10.0  # a longer image fetch is worth preempting on a machine that has the image
URGENT_S = 30.0  # with more time left to meet an objective, a job waits rather than preempts

# --- autoscaling --------------------------------------------------------------------------------
LIST_S = 3.0  # between reads of the machine list, at least
LIST_SHARE = 0.4  # of the cloud's request rate: the list of thousands of machines has many pages
LIST_KEEP = 0.5  # of the cloud's burst that pages of the list leave to scale-out and scale-in
TYPES_S = 60.0  # between reads of machine types; prices move slowly
CLOUD_TIMEOUT_S = 4.0  # responses of the cloud take some 100 ms
PROVISION_MAX = 50  # machines in one provision request (protocol)
DELETE_MAX = 100  # names in one deletion request (protocol)
LIST_PAGE = 500  # machines in one page of the list (protocol)
SCALE_OUT_GAP_S = 0.5  # least distance of two scale-out plans
NO_CAPACITY_S = 12.0  # before a refused type, zone and kind is requested again
# Times startup_s: a machine that is not up by then, though others provisioned no sooner are, is
# deleted.
STARTUP_PATIENCE = 4.0
STARTUP_PATIENCE_ALL = 8.0  # times startup_s; the same if none is up: the cloud is late with all
# Times startup_s: others are up after 1.5 times, so a replacement is provisioned.
STARTUP_LATE = 1.75
SAME_AGE_S = 2.0  # machines provisioned within this time count as equally old
STARTUP_PATIENCE_MIN_S = 60.0  # a deleted machine costs 60 s in any case
UNLISTED_LAGS = 8.0  # list lags; a silent machine that is unlisted for so long is gone
QUIET_HOLD_S = 4.0  # an idle machine is kept so long once no job has arrived for a startup time
RECLAIM_MARGIN_S = 1.0  # after the time that a spot notice gave
USAGE_SAMPLE_S = 10.0  # between samples of what all machines are doing, for the usage log line
USAGE_LOG_S = 30.0  # between usage log lines
QUOTA_IDLE_HOLD_S = 300.0  # idle machines are kept so long where teams have a quota guarantee
# Idle machines deleted at once for a starving job whose machine types the cloud refuses.
RETURNED_FOR_STARVING_JOB = 4
# Such machines must have been idle for so long; others will soon be used again, with their images.
RETURNED_FOR_STARVING_JOB_IDLE_S = 90.0
RETURNED_FOR_STARVING_JOB_GAP_S = 30.0  # between such deletions: time enough to see their effect
# Times startup_s an idle machine is kept elsewhere: about what starting it and fetching anew cost.
IDLE_STARTUP_TIMES = 1.0

# --- peers --------------------------------------------------------------------------------------
# A user waits 2 s for a query, so that the state service can still be read after this timeout.
FORWARD_TIMEOUT_S = 1.2
# Timeout of a forwarded submission while the leader responds to nothing: creating the job in the
# state service directly is as good, and faster.
FORWARD_ACCEPT_TIMEOUT_S = 0.1
ACCEPT_TIMEOUT_S = 1.5  # a commit usually takes 10 ms; then the response is 503 with Retry-After
RETRY_AFTER_S = 1  # value of Retry-After in responses with status 429, 503 or 504
FOLLOWER_TIMEOUT_S = 0.7  # access to the state service without a leader; leaves time to respond
STORE_FRESH_S = 8.0  # a working watch gets a response at least this often, see WATCH_HOLD_S
PEER_FRESH_S = 4.0  # without a response of any peer for this long, peers count as unreachable
PING_INTERVAL_S = 1.5  # between pings to each peer; also their timeout
REDIRECTED_MAX_AGE_S = 6.0  # a follower reports a redirected heartbeat to the leader for this long
HEARTBEAT_ORDER_RETENTION_S = 120.0  # for this long delayed copies of heartbeats are recognised
STARTUP_GRACE_S = 6.0  # after its start a controller passes health checks for this long

# --- duties -------------------------------------------------------------------------------------
DUTY_RENEWALS = 5.0  # attempts to renew that fit into one lease on a duty
DUTY_LOOK_S = 2.0  # a claimant checks this often, though watch events wake it
DUTY_LEADER_PAUSE_S = 1.0  # the leader leaves a free duty to others for so long: it has other work
DUTY_HELD_PAUSE_S = 0.4  # for each duty that a controller holds it leaves others more time
DUTY_HANDOVERS_KEPT = 5  # claims in the record of the fencing token, for operators
DUTY_RESULTS_KEPT = 1000  # results that a holder can repeat, some 1 KiB each at most
DUTY_ACTS_MOST = 200  # unfinished actions of a duty: 10,000 provisionings or 20,000 deletions
DUTY_WAITING_S = 10.0  # what waits is retried every second: an older reason no longer holds
DUTY_WAIT_S = 3.0  # a holder responds by then, with what it knows
DUTY_ASK_S = 4.0  # the leader waits a little longer than that
DUTY_ASKS_AT_ONCE = 16  # requests of a leader to one holder: each takes a socket of both
DUTY_LEADER_WRITES = 0.5  # of the write rate, while holders write beside the leader
DUTY_CLOUD_SHARE = 0.3  # of the cloud's request rate for each holder; the leader's list needs 0.4
DUTY_CLAIM_STEP_S = 0.001  # timers fire in steps of about this: no shorter wait is begun

# --- cells --------------------------------------------------------------------------------------
CELL_HEARTBEAT_S = 1.0  # between heartbeats to each other cell: many attempts fit into any lease
CELL_SOON_S = 0.15  # before a heartbeat that an event caused, so that several events share it
CELL_TIMEOUT_S = 2.0  # another cell responds in milliseconds, or after two commits of its store
CELL_OFFER_S = 3.0  # an offer waits for a round and a commit of the borrower
# A new leader requests its leases for so long before it serves; heartbeats of workers meanwhile
# are held for HEARTBEAT_HOLD_S.
CELL_LEASE_REQUEST_S = 1.0
CELL_RETRY_S = 2.0  # before a cell, or a job, that was refused is tried again; doubled each time
CELL_RETRY_MOST_S = 60.0  # ... at most
CELL_RESERVATION_S = 8.0  # capacity is reserved for an offer: offer and grant take two commits each
CELL_UNPLACED_S = 15.0  # a borrowed job that is not placed for so long goes back
CELL_ENDED_S = 600.0  # the end of a borrowed job is kept for a home that is down for so long
CELL_BORROWED_MOST = 64  # borrowed jobs at a time: each takes some 120 bytes of every heartbeat
CELL_TASKS_MOST = 64  # tasks of a job that is handed off: all of them are placed at once
CELL_HANDOFFS_MOST = 3  # of one job in a term, so that it does not move back and forth
CELL_CAPACITY_ROWS = 64  # of a summary of free capacity, some 40 bytes each
CELL_CAPACITY_FRESH_S = 5.0  # an older summary is ignored
CELL_OPERATIONS = 4  # offers in progress at a time
CELL_PATIENCE_S = 3.0  # a job waits for so long at home, since preemption there takes as long
CELL_HANDOFF_S = 2.0  # an offer, two commits on either side and a round, as measured
CELL_GAIN_S = 4.0  # by which a job must start sooner elsewhere
CELL_UNKNOWN_WAIT_S = 3600.0  # stands for a wait that can't be estimated
