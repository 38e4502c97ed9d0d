"""Claims, takeover, shards, stealing, shares, fleet, admission."""
