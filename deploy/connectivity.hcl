# Switches relaying on: python3 run.py --config FILE --operator-settings deploy/connectivity.hcl
# docs/connectivity.md says what each setting does, docs/connectivity-operations.md what to look at.
connectivity {
  relay               = true
  relay_s             = 45.0
  relays_at_once      = 4096
  settle_s            = 8.0
  longest_settle_s    = 60.0
  penalty_half_life_s = 30.0
}
