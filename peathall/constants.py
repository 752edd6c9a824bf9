"""Constants that are the same at every site.

Values that differ between sites come from elsewhere: lease durations, rate limits and objectives
from the settings file, machine types from the cloud at run time. The unit of a constant is
the end of its name (`_S` seconds, `_BYTES`) or the beginning of its comment.
"""

# --- background tasks ---------------------------------------------------------------------------
TASK_END_LIMIT_S = 1.0  # a cancelled task ends at once, unless the program is at fault

# --- HTTP ---------------------------------------------------------------------------------------
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit for request bodies
# Users poll every 5 s, workers send heartbeats every 3 s: a connection that is idle for longer is
# abandoned.
IDLE_CONNECTION_TIMEOUT_S = 40.0
REQUEST_RECEIVE_TIMEOUT_S = 10.0  # only slow or broken clients take longer to send a request
CONNECTION_SWEEP_INTERVAL_S = 5.0  # one timer closes all idle and slow connections
PUBLIC_SOCKET_SHARE = 0.75  # of the socket limit, for connections from workers and users
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
# Longest wait of a watch for changes. A silent partition is noticed after this plus the timeout.
WATCH_HOLD_S = 6.0
VALUE_SIZE_SHARE = 0.85  # of value_kb is used: the service measures values in another encoding
# Of the limit that is assumed after the service rejected larger values: a job's record fits.
MIN_VALUE_LIMIT_BYTES = 870
# Operations of the largest indivisible transaction: a job's final status, the record without the
# job, and the record in which another controller accepted it.
MIN_TRANSACTION_OPS = 3
# Refusals of one transaction by the rate limit, STORE_RETRY_S apart, after which it is rejected. A
# full burst builds up within one second, so a transaction refused for longer has more operations
# than the rate ever allows.
MAX_RATE_REFUSALS = 8
TXN_CONDITIONS_PER_OP = 4  # times txn_ops: limit of conditions in one transaction (protocol)
# Of the operations of one transaction, which has at most 64 KiB (protocol) with its conditions.
MAX_TXN_BYTES = 48 * 1024
MAX_TXN_CONDITIONS = 200  # some 80 bytes each, besides the operations
MAX_VALUE_BYTES = 47 * 1024  # a transaction has room for one, whatever value_kb is

# --- leadership ---------------------------------------------------------------------------------
LEADER_LEASE_TTL_S = 3.0  # failover waits this long; one slow renewal must not lose the lease
LEADER_RENEW_S = 0.7  # between renewals: four attempts fit into one lease
CLOCK_DRIFT = 0.0005  # fraction; the monotonic clocks of two machines differ by up to 0.05%
LEADER_LEASE_MARGIN_S = 0.3  # a message sent just before expiry has this long to leave
CAMPAIGN_JITTER_S = 0.25  # at most; spreads the campaigns, so that the first one usually wins
CAMPAIGN_REFUSED_RETRY_S = 2.0  # between campaigns that fail until operators change a setting
RECOVERY_SLICE_S = 0.01  # loading time after which a recovery yields: the lease must be renewed
# No campaigns for this long after resigning because workers could not reach this controller, or
# after a term that failed.
RESIGN_BACKOFF_S = 25.0
LEADERLESS_BACKOFF_S = 6.0  # the backoff ends early once nobody has led for this long

# --- workers ------------------------------------------------------------------------------------
LEASE_EXPIRY_MARGIN_S = 1.0  # added to lease and clock drift, for late timers of this process
TICK_S = 1.0  # between checks of leases; capacity of an expired lease is freed no later than this
# Heartbeat intervals without a heartbeat after which a machine takes no new work.
UNSCHEDULABLE_HEARTBEATS = 3.0
# Of the worker's lease, if that is less: a site may set long heartbeat intervals.
UNSCHEDULABLE_LEASE_SHARE = 0.5
STALL_S = 3.0  # a longer time between ticks means that this process was stalled
# Heartbeat intervals of silence after which a machine with replicas has missed a heartbeat and is
# probed; the intervals vary by a quarter.
PROBE_AFTER_HEARTBEATS = 1.4
PROBE_TRIES = 2  # consecutive probes without a response after which the machine counts as lost
PROBE_TIMEOUT_S = 1.0  # a live machine responds within milliseconds
# Heartbeat intervals within which most machines must have sent a heartbeat. Otherwise this
# controller may itself be partitioned, and neither begins probes nor uses their results.
PROBE_RECENT_HEARTBEATS = 1.3
# Share of the machines that counts as most of them: a partitioned zone usually has more than the
# rest.
PROBE_MIN_LIVE_SHARE = 0.7
# Heartbeat intervals without a heartbeat after which a machine is deleted: that releases its tasks
# before the worker's lease expires.
LOST_HEARTBEATS = 5.0
# Of the worker's lease, if that is less: a later deletion would gain no time.
LOST_LEASE_SHARE = 0.6
# Share of the machines, unable to reach this leader or to receive its responses, above which it
# resigns.
UNREACHABLE_SHARE = 0.5
# Share of the machines that must be live before a silent machine counts as lost. A live machine
# that is partitioned from the leader sends heartbeats to another controller, which reports them.
MIN_LIVE_SHARE = 0.3
# Live share from which a machine is deleted that sends heartbeats only to other controllers.
CERTAIN_LIVE_SHARE = 0.8
HEARTBEAT_HOLD_S = 1.5  # longest wait of a heartbeat for a leader in recovery; the worker waits 4 s
UNHEALTHY_FAILED_JOBS = 3  # different jobs that fail in a row on a machine: it is quarantined
# An unhealthy machine takes no new work for so long, if it has tasks that do not end sooner.
QUARANTINE_S = 60.0
# Machines on which a job that never succeeded fails: it counts as failing, since the fault is
# probably in the job itself.
FAILING_JOB_MACHINES = 2
WIDESPREAD_FAILURE_MACHINES = 3  # the same number for a job that has succeeded before
FAILING_JOBS_KEPT = 200  # entries in the record of failing jobs, which a new leader reads
FAILING_JOB_BYTES = 48  # of one entry; a job id has up to 32
SUCCESS_RUNTIME_S = 5.0  # running longer counts as success: a faulty task fails early
AVOID_MACHINES = 3  # machines with the latest failures of a job, which the job avoids
# After a failure, for which the job avoids the machine: the machine may be well again, and no other
# may ever have room.
AVOID_S = 30.0
ERROR_BACKOFF_S = 2.0  # doubled with each consecutive failed start of a failing job
ERROR_BACKOFF_MAX_S = 60.0  # a failing job is retried until its user cancels it
CHECKPOINT_GRACE_S = 3.0  # added to the time that a job states for a checkpoint
# Minimum number of records for the machines' image caches: new images on hundreds of machines at
# once cost no more writes than there are records.
IMAGE_CACHE_RECORDS = 64
# Minimum bytes for one machine's entry in such a record: its name and about four images.
IMAGE_CACHE_ENTRY_BYTES = 130
# After failover; by then each live machine has sent a heartbeat or is listed.
FORGET_IMAGE_CACHES_S = 60.0
# Most tasks in one heartbeat, including exited tasks, and most commands in one response. Each takes
# about 80 bytes of the protocol's 64 KiB, and a machine whose heartbeats are too large is lost.
MACHINE_TASKS_MAX = 600
# Age at which a decoded task status that no heartbeat repeats is dropped from the cache, so that
# the cache holds current statuses only. Each takes some 700 bytes.
TASK_STATUS_CACHE_S = 30.0
# Copies of a deleted machine's heartbeats may arrive minutes late.
DELETED_MACHINE_MEMORY_S = 1800.0
# Direct commands per second and CPU core, at most, that could wait for their machine's next
# heartbeat. Each costs the leader about as much as a heartbeat.
DEFERRABLE_COMMANDS_PER_S = 40.0
# Allocations between runs of the cycle collector: asyncio makes few cycles.
GC_THRESHOLD_OBJECTS = 20_000
DIRECT_COMMAND_TIMEOUT_S = 2.0  # then the response to the next heartbeat repeats the command

# --- placement ----------------------------------------------------------------------------------
ROUND_MIN_PAUSE_S = 0.2  # minimum pause before a round, so that changes close in time share one
ROUND_PAUSE_FACTOR = 6.0  # times the last round's duration: pause after it, to limit the load
ROUND_SLICE_S = 0.01  # planning time after which a round yields to the event loop
# Minimum age at which a round record is compacted: most are deleted earlier, without that write.
ROUND_COMPACT_AGE_S = 60.0
ROUND_COMPACT_FACTOR = 4  # times the live attempts: a record that names more is compacted
# Pause of the jobs of a round record that was rejected: another round may plan the same record.
ROUND_REJECTED_BACKOFF_S = 2.0
ROUND_MAX_WAIT_S = 2.0  # between rounds without a request: deadlines and health change with time
RECENT_GANG_S = 180.0  # after a gang of a class arrives, capacity is left free for the next one
# Wait without any attempt after which a job may fill one machine that is kept for a next gang.
GANG_CAPACITY_WAIT_S = 60.0
STABLE_START_S = 31.0  # a start that is stopped within 30 s does not count for the objectives
# Times the duration of a checkpoint. A task with periodic checkpoints at most this far apart is
# preempted without a new one: it loses half an interval on average, at most twice the delay that a
# checkpoint would cost the preempting job.
CHECKPOINT_INTERVAL_FACTOR = 4.0
RESTART_COST_S = 10.0  # time that a preempted task loses to queueing, starting and perhaps fetching
# Number of replicas on one machine from which other machines are preferred, so that the loss of a
# machine costs few replicas. A lower number makes more replicas fetch their image and start late.
PREFERRED_REPLICAS_PER_MACHINE = 8
# Part of a team's limit is kept for missing replicas for so long: the capacity that they lack may
# never come, while other jobs of the team wait.
REPLICA_QUOTA_HOLD_S = 60.0
JOB_SIZE_WEIGHT = 3.0  # times the seconds a job would fill the cluster: added to its latest start
CANARY_DELAY_S = 1e6  # sorts canaries of failing jobs after other jobs of their priority
# Time without any attempt after which a job goes before all others, so that the largest jobs start
# within four minutes, however many smaller ones arrive.
STARVING_S = 150.0
GANG_STARVING_STEP_S = 10.0  # a gang counts as starving this much sooner per task after the first
GANG_STARVING_MAX_S = 90.0  # maximum of that sum for one gang
MIN_REMAINING_SHARE = 0.3  # of the estimated run time: minimum expected to remain of a running task
LONG_FETCH_S = 10.0  # image fetch time from which preempting where the image is cached is better
URGENT_SLACK_S = 30.0  # time left to meet an objective below which a job may preempt others

# --- autoscaling --------------------------------------------------------------------------------
MACHINE_LIST_MIN_INTERVAL_S = 3.0  # least time between reads of the machine list
# Of the cloud's request rate: the list of thousands of machines has many pages.
MACHINE_LIST_RPS_SHARE = 0.4
# Of the cloud's burst: pages of the list leave it to scale-out and scale-in.
MACHINE_LIST_BURST_RESERVE = 0.5
MACHINE_TYPES_INTERVAL_S = 60.0  # between reads of machine types; prices move slowly
CLOUD_TIMEOUT_S = 4.0  # responses of the cloud take some 100 ms
MAX_PROVISION_COUNT = 50  # machines in one provision request (protocol)
MAX_DELETION_NAMES = 100  # names in one deletion request (protocol)
MACHINE_LIST_PAGE_SIZE = 500  # machines in one page of the list (protocol)
SCALE_OUT_PAUSE_S = 0.5  # pause after a scale-out plan
# After a capacity error, before the same kind of machine is requested again.
CAPACITY_ERROR_BACKOFF_S = 12.0
# Times startup_s: a machine that is not up by then is deleted, if one of its type that was
# provisioned at the same time or later is up.
STARTUP_TIMEOUT_FACTOR = 4.0
# Times startup_s: the same limit if no such machine is up, since the cloud then delays all.
STARTUP_TIMEOUT_FACTOR_ALL_LATE = 8.0
# Times startup_s: a replacement is provisioned for a machine that is not up by then. Others are up
# after 1.5 times.
STARTUP_LATE_FACTOR = 1.75
SAME_AGE_S = 2.0  # machines provisioned within this time count as equally old
MIN_STARTUP_TIMEOUT_S = 60.0  # a deleted machine costs 60 s in any case
UNLISTED_LAGS = 8.0  # times list_lag_s: a silent machine that is unlisted for so long is gone
# An idle machine is kept for so long if no job has arrived during the last startup time.
QUIET_IDLE_HOLD_S = 4.0
RECLAIM_MARGIN_S = 1.0  # added to the time at which a spot machine is to be reclaimed
USAGE_SAMPLE_INTERVAL_S = 10.0  # between samples of machine activity, for the usage log line
USAGE_LOG_INTERVAL_S = 30.0  # between usage log lines
QUOTA_IDLE_HOLD_S = 300.0  # idle machines are kept for so long if teams have a quota guarantee
# Idle machines deleted at a time for starving jobs that can't use them, after capacity errors.
MAX_DELETED_FOR_STARVING_JOB = 4
# Such machines have been idle for so long: others are likely to be reused, with cached images.
DELETED_FOR_STARVING_JOB_IDLE_S = 90.0
DELETED_FOR_STARVING_JOB_INTERVAL_S = 30.0  # between such deletions, so that each can take effect
# Times startup_s: other idle machines are kept for so long, which costs about as much as starting
# a new machine and fetching images again.
IDLE_HOLD_STARTUP_FACTOR = 1.0

# --- peers --------------------------------------------------------------------------------------
# A user waits 2 s for the response to a query: after this timeout, time is left to read the state
# service instead.
FORWARD_TIMEOUT_S = 1.2
# Timeout of a forwarded submission while the leader responds to nothing: creating the job in the
# state service directly is as good, and faster.
FORWARD_ACCEPT_TIMEOUT_S = 0.1
ACCEPT_TIMEOUT_S = 1.5  # a commit usually takes 10 ms; then the response is 503 with Retry-After
RETRY_AFTER_S = 1  # value of Retry-After in responses with status 429, 503 or 504
FOLLOWER_TIMEOUT_S = 0.7  # access to the state service without a leader; leaves time to respond
# Between a follower's reads of the tasks placed on machines: a job's status may lag by up to 3 s.
PLACED_TASKS_MAX_AGE_S = 1.0
STORE_FRESH_S = 8.0  # a working watch gets a response at least this often, see WATCH_HOLD_S
PEER_FRESH_S = 4.0  # without a response of any peer for this long, peers count as unreachable
PING_INTERVAL_S = 1.5  # between pings to each peer; also their timeout
REDIRECTED_MAX_AGE_S = 6.0  # a follower reports a redirected heartbeat to the leader for this long
HEARTBEAT_ORDER_RETENTION_S = 120.0  # delayed copies of heartbeats are recognised for this long
STARTUP_GRACE_S = 6.0  # a controller reports itself healthy for this long after its start

# --- duties -------------------------------------------------------------------------------------
DUTY_RENEWALS_PER_LEASE = 5.0  # attempts to renew a lease on a duty within its duration
DUTY_CLAIM_CHECK_S = 2.0  # between checks for free duties, besides those that watch events cause
DUTY_LEADER_PAUSE_S = 1.0  # the leader leaves a free duty to others: it has other work
DUTY_HELD_PAUSE_S = 0.4  # added to that delay for each duty that a controller already holds
DUTY_HANDOVERS_KEPT = 5  # latest claims in the record of the fencing token, for operators
DUTY_RESULTS_KEPT = 1000  # for repeated requests; each result takes at most some 1 KiB
DUTY_MAX_ACTIONS = 200  # unfinished at a time: up to 10,000 new machines or 20,000 deletions
DUTY_WAIT_REASON_MAX_AGE_S = 10.0  # waiting work is retried each second: older reasons are outdated
DUTY_RESPONSE_S = 3.0  # a holder responds by then, with PENDING if the action is unfinished
DUTY_REQUEST_TIMEOUT_S = 4.0  # timeout of a request to a holder, a little longer than that
DUTY_MAX_CONCURRENT_REQUESTS = 16  # of a leader to holders: each takes a socket on both sides
DUTY_LEADER_WRITE_SHARE = 0.5  # of the write rate, while holders write as well as the leader
DUTY_CLOUD_SHARE = 0.3  # of the cloud's request rate, for each holder; the leader's list needs 0.4
DUTY_TIMER_RESOLUTION_S = 0.001  # about the resolution of timers: a shorter wait counts as over

# --- cells --------------------------------------------------------------------------------------
CELL_HEARTBEAT_S = 1.0  # between heartbeats to each other cell; a lease spans many of them
CELL_HEARTBEAT_DELAY_S = 0.15  # after an event, so that several events share a heartbeat
CELL_HEARTBEAT_TIMEOUT_S = 2.0  # the response takes milliseconds, or two commits of that cell
CELL_OFFER_TIMEOUT_S = 3.0  # the borrower's response takes a scheduling round and a commit
# Before a new leader serves requests, it waits this long for leases from home cells. Workers'
# heartbeats are held for HEARTBEAT_HOLD_S meanwhile.
CELL_LEASE_REQUEST_TIMEOUT_S = 1.0
CELL_BACKOFF_MIN_S = 2.0  # pause for a job and a cell after a refused offer; doubled each time
CELL_BACKOFF_MAX_S = 60.0  # upper bound of that pause
CELL_RESERVATION_S = 8.0  # for which capacity is reserved; offer and grant take two commits each
CELL_UNPLACED_TIMEOUT_S = 15.0  # a borrowed job without placement goes back to its home cell
CELL_END_RETENTION_S = 600.0  # the end of a borrowed job is kept for a home cell that is down
CELL_MAX_BORROWED_JOBS = 64  # at a time; each takes some 120 bytes of every heartbeat
CELL_MAX_TASKS = 64  # tasks of a job that may be handed off, since all of them are placed at once
CELL_MAX_HANDOFFS = 3  # handoffs of one job in a term, so that it does not move back and forth
CELL_MAX_CAPACITY_ROWS = 64  # rows of a summary of free capacity, some 40 bytes each
CELL_CAPACITY_MAX_AGE_S = 5.0  # age from which a summary of free capacity is ignored
CELL_MAX_OFFERS = 4  # offers in progress at a time
CELL_MIN_WAIT_S = 3.0  # wait of a job before it is offered: preemption at home takes as long
CELL_HANDOFF_COST_S = 2.0  # duration: an offer, a scheduling round, two commits in each cell
CELL_MIN_GAIN_S = 4.0  # minimum by which a job must start sooner in another cell than at home
CELL_UNKNOWN_WAIT_S = 3600.0  # stands for a wait that cannot be estimated
