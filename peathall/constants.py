"""Every constant of the service, with its unit and the reason for its value.

What a site decides (lease lengths, budgets, machine types, aims) is not here: it
is read from the settings file or asked of the cloud at run time.
"""

# --- HTTP -------------------------------------------------------------------
MAX_BODY = 64 * 1024  # bytes; the protocol's limit for request bodies
IDLE_CONNECTION_S = 40.0  # s; users poll every 5 s and workers every 3 s: longer is abandoned
SLOW_REQUEST_S = 10.0  # s; a request that takes longer to arrive is a slow or broken client
SWEEP_S = 5.0  # s; how often idle and slow connections are looked for (one timer for all)
CALLER_SOCKET_SHARE = 0.75  # of the socket limit: workers and users that call us
CROWDED_SHARE = (
    0.85  # of what callers may have: from here on workers' connections close with the answer
)
PEER_SOCKET_SHARE = 0.1  # of the socket limit: other controllers that call us
DIRECT_COMMAND_SOCKET_SHARE = (
    0.1  # of the socket limit: direct orders to workers; the rest is for other calls
)
CONNECT_S = 1.0  # s; connections behind a cut hang without an error
POOL_IDLE_S = 20.0  # s; a pooled connection unused for longer is not trusted any more

# --- turns, while more is asked than can be served ------------------------------
HEARTBEAT_QUEUE_S = 3.0  # s; a worker waits 4 s for its answer
WRITE_QUEUE_S = 3.5  # s; a user waits 5 s for a submission or cancellation
QUERY_QUEUE_S = 1.2  # s; a user waits 2 s for the answer to a poll

# --- state service ----------------------------------------------------------
STORE_TIMEOUT_S = 1.5  # s; answers take 10 ms, now and then a few hundred
READ_RATE_RESERVE = (
    0.25  # of a second's requests are kept for commits: polls may cost reads, and were
)
# once so many that no commit found its turn any more
STORE_RETRY_S = 0.25  # s; pause after 429, 503 or silence, so that an outage costs few requests
LEADER_RPS_SHARE = 0.4  # of the request budget; the followers' watches and fallbacks share the rest
LEADER_WRITE_SHARE = 0.75  # of the write budget; the followers' accepts without a leader, the rest
REMEMBERED_JOBS = 20_000  # jobs of which a follower remembers what it read, some 300 bytes each
DEFERRED_POLL_S = 0.25  # s; before the write budget is looked at again for what may wait
DEFERRED_MAX_WAIT_S = (
    3.0  # s; done tasks are written then, budget to spare or not: workers report an
)
# end until it is stored, and a report has a limit
ARCHIVE_AT_ONCE = 3  # jobs of one record archived in one change: together with the record's
# new state no more changes than a busy store has to spare
WATCH_HOLD_S = 6.0  # s; a watch behind a silent cut is noticed after this plus the timeout
VALUE_FILL = 0.85  # of value_kb is used, since the limit counts another encoding than we measure
MIN_TRANSACTION_OPS = 3  # changes of the largest indivisible transaction: a job's final state, the
# record without it, and the record in which another controller accepted it
RATE_REFUSALS = 8  # of one transaction, STORE_RETRY_S apart: a burst is saved up in a second, so
# one that is refused for longer has more changes than the service's rate allows at all
TXN_CONDITIONS = 4  # times txn_ops: conditions of one transaction (protocol)
TXN_BYTES = 48 * 1024  # bytes of one transaction, kept clear of the 64 KiB limit

# --- leadership -------------------------------------------------------------
LEADER_LEASE_TTL_S = 3.0  # s; a take-over waits this long, a slow renewal must not lose the lead
LEADER_RENEW_S = 0.7  # s; four tries fit into one lease
CLOCK_DRIFT = 0.0005  # part; steady clocks of two machines differ by up to 0.05%
LEADER_LEASE_MARGIN_S = 0.3  # s; the last act before the lease ends must have left by then
CAMPAIGN_JITTER_S = 0.25  # s; spreads candidates, so that one wins at the first try
CAMPAIGN_REFUSED_RETRY_S = 2.0  # s; between campaigns that only a switch by operators lets through
RESIGN_BACKOFF_S = 25.0  # s; a leader that the workers could not reach stands back for this long
LEADERLESS_BACKOFF_S = 6.0  # s; ... unless nobody else has taken the lead for this long

# --- workers ----------------------------------------------------------------
LEASE_EXPIRY_MARGIN_S = 1.0  # s; over the lease and the drift, for our own late timers
TICK_S = 1.0  # s; how often leases are checked; room returns at most this much late
SUSPECT_HEARTBEATS = 3.0  # missed report intervals; no new work goes to such a machine (DESIGN)
SUSPECT_LEASE = 0.5  # of the lease, if that is less: reports may be long apart
STALL_S = 3.0  # s; ticks further apart than this mean that we could not attend to anyone
PROBE_AFTER_HEARTBEATS = (
    1.4  # report intervals, which vary by a quarter: a machine with replicas that is
)
# silent for longer has missed a report, and is asked whether it is there
PROBE_TRIES = 2  # probes without an answer, one after the other: then it is not waited for
PROBE_TIMEOUT_S = 1.0  # s; a machine answers within milliseconds
PROBE_RECENT_HEARTBEATS = 1.3  # report intervals within which most machines must be heard, or the
# silence may be ours
PROBE_MIN_LIVE_SHARE = (
    0.7  # of the machines, then; a zone that is cut off is mostly more than the rest
)
LOST_HEARTBEATS = 5.0  # missed report intervals; then deleting it frees its tasks before its lease
LOST_LEASE = 0.6  # of the lease, if that is less: later, the lease would end as soon
UNREACHABLE_SHARE = 0.5  # of the machines neither heard nor hearing us: another should lead
MIN_LIVE_SHARE = 0.3  # of the machines must be heard before silence is blamed on a machine; one
# that is alive behind a cut of ours reports to another controller, which tells us
CERTAIN_LIVE_SHARE = 0.8  # of the machines heard: then a machine that only others hear is of no use
HEARTBEAT_HOLD_S = (
    1.5  # s; a check-in that meets a leader still reading its records waits (4 s limit)
)
UNHEALTHY_FAILED_JOBS = 3  # different jobs that failed in a row on a machine before it is emptied
FAILING_JOB_MACHINES = 2  # on which a job failed that went well nowhere: its own fault, perhaps
WIDESPREAD_FAILURE_MACHINES = 3  # on which one failed that had gone well before
FAILING_JOBS_KEPT = 200  # in the record that a new leader reads
FAILING_JOB_BYTES = 48  # bytes of one of them there: an id has up to 32
SUCCESS_RUNTIME_S = 5.0  # s; what fails of itself fails at its start: longer, and it goes well
AVOID_MACHINES = 3  # machines that a failing job avoids; a mistaken job would avoid them all
ERROR_BACKOFF_S = 2.0  # s; doubled with each failed start of a suspect job
ERROR_BACKOFF_MAX_S = 60.0  # s; a mistaken job stays until its user cancels it
CHECKPOINT_GRACE_S = 3.0  # s; added to the time that a task needs to save
CACHE_RECORDS = 64  # records that hold all machines' caches, at least: a wave of new images on
# hundreds of machines costs no more changes than this
CACHE_BYTES = 130  # bytes of a machine's share of such a record, at least: its name and about four
# images; with less, thousands of machines would leave no room for any
FORGET_CACHES_S = 60.0  # s; after a take-over every living machine has reported or is listed
MACHINE_TASKS = (
    600  # in a report, ended ones included, and orders in an answer: each takes about 80
)
# bytes of 64 KiB, and a machine whose report is too large would be lost
TASK_STATUS_CACHE_S = (
    30.0  # s; what no report has said for so long is not recognised any more; each
)
# sentence takes some 700 bytes, so memory follows what the machines report, with no limit of ours
DELETED_MEMORY_S = 1800.0  # s; late copies of a deleted machine's reports come minutes late
DEFERRABLE_COMMANDS = 40.0  # a second and core: direct orders for tasks that could wait for their
# machine's next report, at most; each costs the leader about as much as a report
GC_OBJECTS = 20_000  # new objects between looks for cyclic garbage: asyncio makes little of it
DIRECT_TIMEOUT_S = 2.0  # s; a direct order without an answer is repeated by the next check-in

# --- placement --------------------------------------------------------------
ROUND_GAP_S = 0.2  # s; least distance of two rounds: what arrives together is decided together
ROUND_LOAD = 6.0  # times the last round's own duration is left between rounds: batches widen
SLICE_S = 0.01  # s; a round lets others have their turn after so long
ROUND_COMPACT_S = 60.0  # s; most rounds are over by then, and dropped without a further change
ROUND_COMPACT_FACTOR = 4  # times as many attempts named as may exist: then worth a change
ROUND_IDLE_S = 2.0  # s; a round also runs this often, since deadlines and health move (DESIGN)
SHAPE_MEMORY_S = 180.0  # s; room is kept for the next gang of a class that came so lately
STABLE_START_S = 31.0  # s; a start that is stopped within 30 s does not count for the aims
CHECKPOINT_WORTH = 4.0  # times the save: a task that saves by itself so often loses, with half an
# interval, at most twice as long as the save would hold up whoever needs its room
RESTART_S = 10.0  # s; what a stopped task loses besides work: queueing, a start, perhaps a fetch
REPLICAS_TOGETHER = 8  # of any jobs on one machine before others are taken instead, so that its
# end costs few of them; with less, more have to fetch their image, and start late
EFFORT_WEIGHT = 3.0  # times the seconds a job would fill the fleet are added to its latest start
CANARY_DELAY_S = 1e6  # s; probes of suspect jobs come after all others of their priority
STARVING_S = 150.0  # s; a job that none of its tasks has a place for so long goes before all
# others: the largest must begin within four minutes, however many smaller ones come
GANG_STARVING_STEP_S = (
    10.0  # s for each task of a gang but one: the gang counts as aged so much sooner
)
GANG_STARVING_MOST_S = 90.0  # s; at most
ESTIMATE_FLOOR = 0.3  # of the estimate is expected to be left of a task that outlives it
FETCH_WORTH_S = 10.0  # s; a longer fetch is worth clearing a machine that has the image
URGENT_S = 30.0  # s; with more time left to meet an aim, a job waits rather than stop others

# --- fleet ------------------------------------------------------------------
LIST_S = 3.0  # s; between looks at the machine list, at least
LIST_SHARE = 0.4  # of the cloud's calls: the list of thousands of machines has many pages
LIST_KEEP = 0.5  # of the cloud's burst that pages of the list leave to rentals and deletions
TYPES_S = 60.0  # s; prices move slowly
CLOUD_TIMEOUT_S = 4.0  # s; cloud answers take some 100 ms
PROVISION_MAX = 50  # machines in one rental request (protocol)
DELETE_MAX = 100  # names in one deletion request (protocol)
LIST_PAGE = 500  # machines in one page of the list (protocol)
SCALE_OUT_GAP_S = 0.5  # s; least distance of two plans of what to rent
NO_CAPACITY_S = 12.0  # s; before a refused type, zone and kind is asked for again
STARTUP_PATIENCE = 4.0  # times startup_s; a machine that is not up by then, though others are that
# were rented no sooner, is returned
STARTUP_PATIENCE_ALL = 8.0  # times startup_s; the same if none is: the cloud is late with all
STARTUP_LATE = 1.75  # times startup_s; others have then come up at 1.5 times: rent one in its place
SAME_AGE_S = 2.0  # s; machines rented at about the same time
STARTUP_PATIENCE_MIN_S = 60.0  # s; a deleted machine costs 60 s in any case
UNLISTED_LAGS = 8.0  # list lags; a machine that reports no more and is unlisted so long is gone
QUIET_HOLD_S = 4.0  # s; the same once no job has arrived for a boot time
RECLAIM_MARGIN_S = 1.0  # s; after the time that a spot notice gave
USAGE_SAMPLE_S = 10.0  # s; between looks at what all machines are doing, for those lines
USAGE_LOG_S = 30.0  # s; between lines that tell where the machines' time went
QUOTA_IDLE_HOLD_S = 300.0  # s; idle machines are kept so long where teams have guarantees
RETURNED_FOR_STARVING_JOB = 4  # idle machines returned for a job whose machines the cloud refuses
RETURNED_FOR_STARVING_JOB_IDLE_S = (
    90.0  # s; others will soon be used again, with the images that they have
)
RETURNED_FOR_STARVING_JOB_GAP_S = (
    30.0  # s; between such returns: time enough to see whether it helped
)
IDLE_STARTUP_TIMES = (
    1.0  # times startup_s; elsewhere: about what booting and fetching anew would cost
)

# --- peers ------------------------------------------------------------------
FORWARD_S = 1.2  # s; a query's user waits 2 s, so the store can still be asked
FORWARD_ACCEPT_S = 0.1  # s; a leader that answers nobody for so long is left out: creating the
# job in the store ourselves is as good, and sooner
ACCEPT_S = 1.5  # s; a commit usually takes 10 ms; after this the user is told when to come back
RETRY_AFTER_S = 1  # s; told with 503: the earliest at which users come back
FALLBACK_S = 0.7  # s; asking the store itself must leave time for the answer
STORE_FRESH_S = 8.0  # s; a follower's watch is answered at least this often
PEER_FRESH_S = 4.0  # s; some peer answers a ping at least this often
PING_S = 1.5  # s; between looks at each peer
REDIRECTED_S = 6.0  # s; check-ins that a follower turned away are told to the leader so long
REPORT_ORDER_MEMORY_S = (
    120.0  # s; late copies of a worker's reports are told from news for this long
)
YOUNG_S = 6.0  # s; a controller that has just started calls itself healthy

# --- duties -----------------------------------------------------------------
DUTY_RENEWALS = 5.0  # tries that fit into one lease on a duty
DUTY_LOOK_S = 2.0  # s; a claimant looks again this often, though news wake it
DUTY_LEADER_PAUSE_S = 1.0  # s; the leader leaves a free duty to others for so long: its processor
# has other work
DUTY_HELD_PAUSE_S = 0.4  # s; for each duty that a controller holds it leaves others more time
DUTY_HANDOVERS_KEPT = 5  # claims in the record of the token, for operators
DUTY_RESULTS_KEPT = 1000  # answers that a holder gives again, some 1 KiB each at most
DUTY_ACTS_MOST = 200  # unfinished actions of a duty: 10,000 rentals, or 20,000 deletions
DUTY_WAITING_S = 10.0  # s; what waits is tried every second: an older reason is none any more
DUTY_WAIT_S = 3.0  # s; a holder answers by then, with what it knows
DUTY_ASK_S = 4.0  # s; the leader waits a little longer than that
DUTY_ASKS_AT_ONCE = 16  # requests of a leader to one holder: each takes a socket of both
DUTY_LEADER_WRITES = 0.5  # of the changes a second, while holders write beside the leader
DUTY_CLOUD_SHARE = 0.3  # of the cloud's calls for each holder; the leader's looks need 0.4
DUTY_CLAIM_STEP_S = 0.001  # s; timers fire in steps of about this: no shorter wait is begun

# --- cells ------------------------------------------------------------------
CELL_HEARTBEAT_S = 1.0  # s; between heartbeats to each other cell: many tries fit into any lease
CELL_SOON_S = 0.15  # s; before a heartbeat that brings news, so that several share it
CELL_TIMEOUT_S = 2.0  # s; another cell answers in milliseconds, or after two commits of its store
CELL_OFFER_S = 3.0  # s; an offer waits for a round and a commit of the borrower
CELL_TAKEOVER_S = 1.0  # s; a new leader asks for its leases for so long before it serves; check-ins
# meanwhile are held for 1.5 s
CELL_RETRY_S = 2.0  # s; before a cell, or a job, that was refused is tried again; doubled
CELL_RETRY_MOST_S = 60.0  # s; at most
CELL_RESERVATION_S = 8.0  # s; room is kept for an offer: an offer and a grant each take two commits
CELL_UNPLACED_S = 15.0  # s; a borrowed job without a place for so long goes back
CELL_ENDED_S = 600.0  # s; the end of a borrowed job is kept for a home that is down for so long
CELL_BORROWED_MOST = 64  # jobs borrowed at a time: each is named in every heartbeat, some 120 bytes
CELL_TASKS_MOST = 64  # tasks of a job that is handed off: all of them have to find room at once
CELL_HANDOFFS_MOST = 3  # of one job in a term, so that it does not wander
CELL_ROOM_ROWS = 64  # of a summary of room, some 40 bytes each
CELL_ROOM_FRESH_S = 5.0  # s; an older summary is not looked at
CELL_OPERATIONS = 4  # offers under way at a time
CELL_PATIENCE_S = 3.0  # s; a job waits for so long at home, since stops that make room take as long
CELL_HANDOFF_S = 2.0  # s; an offer, two commits on either side and a round, as measured
CELL_GAIN_S = 4.0  # s; by which it must start sooner elsewhere
CELL_UNKNOWN_WAIT_S = 3600.0  # s; stands for a wait that can't be estimated
