# Switches rebalancing on: python3 run.py --config FILE --operator-settings deploy/rebalancing.hcl
# It needs the libraries of requirements-rebalancing.txt. docs/rebalancing.md says what each setting does.
rebalancing {
  window_s         = 60.0
  stale_s          = 5.0
  max_wait_ratio   = 2.0
  moves_per_period = 8
  move_period_s    = 30.0
  move_gain        = 2.0
  move_rest_s      = 90.0
}
