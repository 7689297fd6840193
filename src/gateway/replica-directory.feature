Feature: A replica that starts again under its id
  A replica may crash and come back under the id and at the address that it had. It then runs nothing of what it
  ran, and whatever was counted or feared of the earlier start would keep calls away from it, or send too many.

  Background:
    Given replica "r1" started at 1000 is known, with 3 own calls and 2 of peer "front-2"

  Scenario: Nothing of the earlier start is counted
    # The front has calls at r1 when it crashes. r1 is back within its heartbeat; the calls of the earlier start are
    # still being given up when the next calls are to be routed.
    When "r1" is registered as started at 9000
    Then 0 calls are counted at "r1"
    And the directory told "restarted, joined" of "r1"

  Scenario: Nothing of the earlier start is feared
    # Connections to r1 failed while it was down, which doubles the time for which it is left alone.
    Given connections to "r1" have failed 4 times
    When "r1" is registered as started at 9000
    Then "r1" is trusted

  Scenario: A call that ends late gives its place at the earlier start back
    # The place must not be given back at the new start, which would then look emptier than it is.
    When "r1" is registered as started at 9000
    And the 3 own calls end
    Then 0 calls are counted at "r1"

  Scenario: Peers that have not heard of the restart yet do not count
    When "r1" is registered as started at 9000
    And peer "front-2" tells of 2 calls at "r1" started at 1000
    Then 0 calls are counted at "r1"
    When peer "front-2" tells of 1 call at "r1" started at 9000
    Then 1 call is counted at "r1"

  Scenario: A clock that was set back between two starts does not hide the later one
    When "r1" is registered as started at 400
    Then 0 calls are counted at "r1"

  Scenario: A write of an earlier start that takes effect late changes nothing
    # The store takes a heartbeat of the first start after those of the second; streams at the second must go on.
    When "r1" is registered as started at 9000
    And "r1" is registered as started at 1000
    Then the directory told "restarted, joined" of "r1"

  Scenario: What a peer tells of outcomes takes the place of what it told before
    # Messages come several times a second; if each were added, one failure would count many times over.
    When peer "front-2" tells of 1 failure in 16 requests at "r1" started at 1000
    And peer "front-2" tells of 1 failure in 16 requests at "r1" started at 1000
    Then 5 % of the requests at "r1" pass for failed

  Scenario: Outcomes of all processes count together
    # Two fronts see few failures each. Either alone could not tell a replica that fails a part from bad luck.
    When peer "front-2" tells of 1 failure in 16 requests at "r1" started at 1000
    And peer "front-3" tells of 3 failures in 20 requests at "r1" started at 1000
    Then 10 % of the requests at "r1" pass for failed

  Scenario: Failures of an earlier start are not held against the later one
    When "r1" is registered as started at 9000
    And peer "front-2" tells of 8 failures in 16 requests at "r1" started at 1000
    Then 0 % of the requests at "r1" pass for failed
