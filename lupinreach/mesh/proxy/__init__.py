"""The proxy: runs beside one application backend, carries its calls and guards its arrivals."""
