"""What the command line does with it: runs, searches, reports, the demo."""
