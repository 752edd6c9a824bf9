"""Package `placement`: which task runs on which machine.

`placement` runs the scheduling rounds of the leader. `snapshot` builds views of jobs and machines
(`job_views`, `machine_views`, `victims`), `planner` turns the views into a plan without side
effects (`pool`, `capacity`, `preemption`, `quotas`, `ordering`), and `starter` and `eviction`
carry out the plan. `rounds` stores the intent to start tasks before any start command is sent.
"""
