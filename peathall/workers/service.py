"""The former home of `Workers`; import it from `peathall.workers.workers`."""

from peathall.workers.workers import Workers as Workers
