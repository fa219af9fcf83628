"""The registry: knows the proxies, pushes news to them, and takes the calls of operators."""
