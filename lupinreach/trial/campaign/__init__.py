"""Randomized search for whole-fleet failures: generates, runs, minimizes, stores and reports them."""
