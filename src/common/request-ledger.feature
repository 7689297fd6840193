Feature: The agent's ledger of attempts
  After a connection was lost, the ledger decides whether a caller is told "not run" or gets the rest of an answer. If an
  expired attempt were taken for one that never arrived, a call that moves a barrier would run a second time at another replica.

  Background:
    Given a ledger that retains ended answers for 10 seconds and 100 bytes

  Scenario: A request that arrives after it was revoked
    When the attempt "a" is revoked before it arrives
    Then the ledger reports its state as "revoked"
    And the attempt "a" may not start

  Scenario: A request that was held in an unresponsive connection for longer than the ledger's retention
    When the attempt "a" is revoked before it arrives
    And 301 seconds pass
    Then the attempt "a" may not start

  Scenario: A query about an attempt that was run and has expired
    The entry was paused for long and queries the attempt only now. It was run, but its record has expired. "Revoked" would be wrong.
    When the attempt "a" runs and ends with the chunks "one,two"
    And 301 seconds pass
    Then the ledger reports its state as "unknown"

  Scenario: An attempt whose answer is no longer retained is still recorded as run
    When the attempt "a" runs and ends with the chunks "one,two"
    And 11 seconds pass
    Then the ledger reports its state as "done"
    And a reader of "a" from chunk 0 gets nothing
    And a reader of "a" from chunk 2 gets "end"

  Scenario: Answers beyond the retained bytes
    When 30 attempts run and each ends with the chunks "0123456789,0123456789"
    Then the ledger retains at most 100 bytes, also after a sweep
    And each of the 30 attempts is recorded as run

  Scenario: Two callers read one answer, and one of them reconnects
    When the attempt "a" begins and "gate-1" and "gate-2" read it
    And it sends the chunk "one"
    And "gate-1" reads it again from chunk 1
    And it sends the chunk "two" and ends
    Then "gate-1" has the chunks "1:two" and the first reader of this name was replaced
    And "gate-2" has the chunks "0:one,1:two"
