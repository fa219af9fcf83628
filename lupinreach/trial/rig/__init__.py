"""The fleet as processes: agents as they are run, peers in processes of their own, and a relay on every link."""
