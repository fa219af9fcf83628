"""The decisions of the agent in service, by concern; `lupinreach.balance` composes them."""
