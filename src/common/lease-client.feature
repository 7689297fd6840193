Feature: A lease whose object is deleted is acquired again
  An operator deletes the Lease objects, or they are missing after a restore. The jobs of the shard must continue.
  A holder whose renewals only failed would end without a successor; a successor that counted from 1 again would be refused by agents
  that have seen higher fencing numbers. The holder stops, a lease's duration passes, and the next one starts above all numbers issued.

  Scenario: The object is deleted while the lease is held
    Given two entries compete for a lease
    And the first holds it
    When the lease's object is deleted and the first tries to renew it
    Then neither holds it
    When both try to acquire it before a lease's duration has passed
    Then neither holds it
    When both try to acquire it after a lease's duration has passed
    Then one holds it, with a higher fencing number

  Scenario: An entry that never saw the lease acquires it after its deletion
    Given two entries compete for a lease
    And the first holds it
    When the lease's object is deleted and a new entry tries to acquire it
    Then the new entry's fencing number is higher
