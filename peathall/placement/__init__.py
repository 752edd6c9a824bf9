"""Package `placement`: which task runs on which machine.

`service` runs the rounds: `snapshot` makes views of jobs and machines (`job_views`,
`machine_views`, `victims`), `planner` decides on these without side effects (`pool`, `capacity`,
`preemption`, `quotas`, `ordering`), and `starter` and `eviction` carry out the plan, whose intent
`rounds` stores first.
"""
