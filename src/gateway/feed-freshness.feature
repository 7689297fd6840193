Feature: Maximum age of the objects by which work is dispatched
  Objects may be used for 1900 ms after they were confirmed.

  Background:
    Given objects that were just confirmed

  Scenario: Objects within the maximum age are not read again
    When they have aged by 1900 ms
    Then work may be sent at once

  Scenario: Work waits for a read of objects that exceed the maximum age
    # Guards against work that continues right after a pause of the process, by objects from before it.
    When they have aged by 1901 ms
    Then work may not be sent at once
    When 3 calls wait for a read, and it is answered
    Then work may be sent at once
    And the objects were read once

  Scenario: While the object API is known to be unavailable, work continues
    # Guards against calls that wait in each outage, although nothing newer can be read.
    When they have aged by 5000 ms
    And the object API has failed a call that began 1000 ms ago
    Then work may be sent at once

  Scenario: The observation of an outage ages, too
    # Guards against a process that is paused in an outage and assumes that it lasts, although it ended long ago.
    When the object API has failed a call that began 1000 ms ago
    And they have aged by 5000 ms
    Then work may not be sent at once

  Scenario: A read that is not answered is awaited only once
    When they have aged by 1901 ms
    And a call waits for a read that is not answered
    Then it has waited between 200 and 2000 ms
    And work may be sent at once
    When they have aged by 1901 ms
    Then work may not be sent at once

  Scenario: A read that failed is repeated as soon as the object API answers any call
    When they have aged by 1901 ms
    And a call waits for a read that fails, and the object API answers another call
    Then the objects were read twice
    And work may be sent at once

  Scenario: A read that timed out and is answered late does not end the retries of a later wait
    # Guards against a call that waits until its time-out, although the object API has answered.
    When they have aged by 1901 ms
    And a call waits for a read that is not answered
    And they have aged by 1901 ms
    And a call waits for a read that fails, and meanwhile the previous read is answered, and the object API answers another call
    Then the objects were read 3 times
    And work may be sent at once

  Scenario: A process that has not read any objects yet has nothing to wait for
    Given no objects were read yet
    When they have aged by 5000 ms
    Then work may be sent at once

  Scenario: The age of an answer that was read late counts from its request
    # Guards against an answer that waited in the socket during a pause, and looks new.
    Given a feed whose list was read 2000 ms after it was requested
    Then its objects are 2000 ms old

  Scenario: The age of a change that was read late counts from the last read of the sockets
    Given a feed whose watch was answered, with the sockets last read 700 ms ago
    Then its objects are 700 ms old
