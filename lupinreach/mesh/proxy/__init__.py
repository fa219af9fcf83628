"""The proxy: runs beside one backend, sends its outbound requests and admits its inbound ones."""
