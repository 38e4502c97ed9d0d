"""Tests: tables of cases, and simulated runs of a whole cluster in virtual time."""
