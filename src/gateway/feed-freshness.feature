Feature: How old the objects may be by which work is sent
  Objects may be used for 1900 ms after they were confirmed.

  Background:
    Given objects that were confirmed just now

  Scenario: Objects that are young enough are not read for work
    When they have aged by 1900 ms
    Then work may be sent at once

  Scenario: Work waits for a read of objects that are too old
    # Guards against work that goes on at once after a pause of the process, by what was true before it.
    When they have aged by 1901 ms
    Then work may not be sent at once
    When 3 calls wait for a read, and it is answered
    Then work may be sent at once
    And the objects were read once

  Scenario: While the object API is known to be away, work goes on
    # Guards against calls that wait in each outage, though nothing newer can be known.
    When they have aged by 5000 ms
    And the object API has failed a call that began 1000 ms ago
    Then work may be sent at once

  Scenario: What was known of an outage ages, too
    # Guards against a process that is paused in an outage and takes it to last, though it has long ended.
    When the object API has failed a call that began 1000 ms ago
    And they have aged by 5000 ms
    Then work may not be sent at once

  Scenario: A read that is not answered is not waited for again and again
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

  Scenario: A read that was given up and is answered late does not end the retries of a later wait
    # Guards against a call that waits in vain, although the object API has answered.
    When they have aged by 1901 ms
    And a call waits for a read that is not answered
    And they have aged by 1901 ms
    And a call waits for a read that fails, and meanwhile the read before is answered, and the object API answers another call
    Then the objects were read 3 times
    And work may be sent at once

  Scenario: A process that knows no objects yet has nothing to wait for
    Given no objects are known
    When they have aged by 5000 ms
    Then work may be sent at once

  Scenario: An answer that was read late is as old as its question
    # Guards against an answer that waited in the socket through a pause, and looks new.
    Given a feed whose list was read 2000 ms after it was asked for
    Then what it knows is 2000 ms old

  Scenario: A change that was read late is as old as the last look at the sockets
    Given a feed whose watch was answered, with the sockets last read 700 ms ago
    Then what it knows is 700 ms old
