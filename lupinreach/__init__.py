"""lupinreach: a client-side load balancer that runs beside each calling process."""
