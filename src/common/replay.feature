Feature: Decisions are replayed from their record
  A caller's request waits at a replica that was leaving, or two entries act under one lease: the log shows which node
  decided, but not why. Decisions are pure, so a trace of their inputs must give the same choices again, today and
  after a change of the code; a choice that differs is an unintended change of policy. The traces were recorded
  while a VM left, an agent drained, another died and an entry was lost ("npm run record-trace").

  Scenario: Routing decisions
    When the recorded routing decisions are replayed
    Then there are at least 200 of them
    And each chooses the replica, the score and the runners-up of its record
    And each has the digest of its record
    And some were made while a replica was leaving, draining or unresponsive
    And none chooses a replica that is leaving, draining, unresponsive or does not serve the target
    And none scores worse than a runner-up
    And none retries a replica that was tried while there is another

  Scenario: Lease decisions
    When the recorded lease decisions are replayed
    Then there are at least 100 of them
    And each gives the decision of its record
    And some lease changes its holder
    And none takes a lease that another holder may still act under
    And the fencing number grows by one when a lease changes its holder, and only then
