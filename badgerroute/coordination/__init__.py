"""Claims, takeover, parts, stealing, shares, fleet, admission."""
