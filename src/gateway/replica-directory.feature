Feature: A replica that restarts under its id
  A replica may crash and restart under the same id and address. It has then lost its earlier requests, and counts or
  backoffs of the earlier start would keep calls away from it, or send it too many.

  Background:
    Given replica "r1" started at 1000 is registered, with 3 own calls and 2 of peer "front-2"

  Scenario: Calls of the earlier start are not counted
    # The front has calls at r1 when it crashes. r1 restarts within its heartbeat interval; the calls of the earlier
    # start are still being aborted when the next calls are to be routed.
    When "r1" is registered as started at 9000
    Then 0 calls are counted at "r1"
    And the directory reported "restarted, joined" for "r1"

  Scenario: The backoff of the earlier start does not apply
    # Connections to r1 failed while it was down, which doubles the backoff each time.
    Given connections to "r1" have failed 4 times
    When "r1" is registered as started at 9000
    Then "r1" is not backed off

  Scenario: A call that ends late releases its slot at the earlier start
    # The slot must not be released at the new start, which would then look less loaded than it is.
    When "r1" is registered as started at 9000
    And the 3 own calls end
    Then 0 calls are counted at "r1"

  Scenario: Announcements of peers that have not received the restart yet are not counted
    When "r1" is registered as started at 9000
    And peer "front-2" announces 2 calls at "r1" started at 1000
    Then 0 calls are counted at "r1"
    When peer "front-2" announces 1 call at "r1" started at 9000
    Then 1 call is counted at "r1"

  Scenario: A clock that was set back between two starts does not hide the later one
    When "r1" is registered as started at 400
    Then 0 calls are counted at "r1"

  Scenario: A delayed write of an earlier start changes nothing
    # The store applies a heartbeat of the first start after those of the second; streams at the second must continue.
    When "r1" is registered as started at 9000
    And "r1" is registered as started at 1000
    Then the directory reported "restarted, joined" for "r1"

  Scenario: The outcomes that a peer announces replace those it announced before
    # Messages come several times a second; if they were added up, one failure would be counted many times.
    When peer "front-2" announces 1 failure in 16 requests at "r1" started at 1000
    And peer "front-2" announces 1 failure in 16 requests at "r1" started at 1000
    Then 5 % of the requests at "r1" are counted as failed

  Scenario: Outcomes of all processes are counted together
    # Two fronts see few failures each. Neither alone could distinguish a replica that fails a share of its calls from chance.
    When peer "front-2" announces 1 failure in 16 requests at "r1" started at 1000
    And peer "front-3" announces 3 failures in 20 requests at "r1" started at 1000
    Then 10 % of the requests at "r1" are counted as failed

  Scenario: Failures of an earlier start are not counted for the later one
    When "r1" is registered as started at 9000
    And peer "front-2" announces 8 failures in 16 requests at "r1" started at 1000
    Then 0 % of the requests at "r1" are counted as failed

  Scenario Outline: An address that two replicas are registered with: <case>
    # Guards against a replica that counts as ended because the registration of an earlier one at its address has not
    # been removed yet, and against one that seems to go on because a later one answers at its address.
    When "r2" is registered at the same address, as started at <started>
    Then "r1" has been replaced: <first>
    And "r2" has been replaced: no

    Examples:
      | case                             | started | first |
      | the later one is seen later      | 9000    | yes   |
      | the later one was listed earlier | 400     | no    |

  Scenario: The later replica at an address leaves
    When "r2" is registered at the same address, as started at 9000
    And the registration of "r2" ends
    Then "r1" has been replaced: no

  Scenario: Another start has been replaced, and the new one has not
    When "r1" is registered as started at 9000
    Then the earlier start of "r1" has been replaced: yes
    And "r1" has been replaced: no
