"""badgerroute: a cluster scheduler of cooperating controllers."""
