Feature: A lease whose object is deleted is taken anew
  An operator clears the Lease objects away, or they are missing after a restore. Jobs of the shard must go on.
  A holder whose renewals only failed would end without a successor; a successor that counted from 1 again would be refused by agents
  that know higher fencing numbers. The holder stops, a lease's time passes, and the next one starts above all numbers given out.

  Scenario: The object is deleted under its holder
    Given two entries tend a lease
    And the first holds it
    When the lease's object is deleted and the first tends it
    Then neither holds it
    When both tend it before a lease's time has passed
    Then neither holds it
    When both tend it after a lease's time has passed
    Then one holds it, with a higher fencing number

  Scenario: An entry that never saw the lease takes it after its deletion
    Given two entries tend a lease
    And the first holds it
    When the lease's object is deleted and a new entry tends it
    Then the new entry's fencing number is higher
