Feature: The agent's ledger of attempts
  A caller is told "not run", or gets the rest of an answer, by what the ledger says after a connection was lost. If it took
  what it forgot for what never came, a call that moves a barrier would run a second time at another replica.

  Background:
    Given a ledger that keeps ended answers for 10 seconds and 100 bytes

  Scenario: A request that arrives after it was revoked
    When the attempt "a" is revoked before it arrives
    Then the ledger says of it "revoked"
    And the attempt "a" may not begin

  Scenario: A request that has lain in a silent connection for longer than the ledger remembers
    When the attempt "a" is revoked before it arrives
    And 301 seconds pass
    Then the attempt "a" may not begin

  Scenario: A question about an attempt that was run and forgotten
    The entry was paused for long and asks only now. The attempt was run; its record is gone. "Revoked" would be a lie.
    When the attempt "a" runs and ends with the chunks "one,two"
    And 301 seconds pass
    Then the ledger says of it "unknown"

  Scenario: An answer that is no longer kept is still known to have been run
    When the attempt "a" runs and ends with the chunks "one,two"
    And 11 seconds pass
    Then the ledger says of it "done"
    And a reader of "a" from chunk 0 gets nothing
    And a reader of "a" from chunk 2 gets "end"

  Scenario: Answers beyond the bytes that are kept
    When 30 attempts run and each ends with the chunks "0123456789,0123456789"
    Then the ledger keeps 100 bytes at the most, also after a sweep
    And each of the 30 attempts is known to have been run

  Scenario: Two callers read one answer, and one of them comes again on a new connection
    When the attempt "a" begins and "gate-1" and "gate-2" read it
    And it sends the chunk "one"
    And "gate-1" reads it again from chunk 1
    And it sends the chunk "two" and ends
    Then "gate-1" has the chunks "1:two" and the first reader of this name was replaced
    And "gate-2" has the chunks "0:one,1:two"
