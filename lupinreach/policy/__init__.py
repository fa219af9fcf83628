"""The decisions of the balancer, by concern; `lupinreach.balance` composes them."""
