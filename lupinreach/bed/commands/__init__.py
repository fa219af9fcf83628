"""The commands of the bed: runs, comparisons, searches, reports and the demo."""
