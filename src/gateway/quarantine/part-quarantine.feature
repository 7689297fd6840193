Feature: Prompt parts that crash replicas are held back
  Each request with a certain part in its prompt crashes the replica that begins to answer it, whatever else it contains.
  Several other requests are in flight at each of these replicas, and only the part is the cause.

  Scenario: A part is held back after two crashes, whichever processes saw them
    Given a replica crashes during requests with the parts "a c1 bad" of "front-1"
    Then requests with the parts "a c1 bad" may be sent at both fronts
    When another replica crashes during requests with the parts "a c2 bad" of "front-2"
    Then requests with the parts "a c3 bad" are held back at both fronts

  Scenario: Parts that are often there are cleared by sound runs
    Given a replica crashes during requests with the parts "a c1 bad" of "front-1"
    And another replica crashes during requests with the parts "a c1 bad" of "front-2"
    When a request with the parts "a c1" is answered for a while at "front-2"
    Then requests with the parts "a c1" may be sent at both fronts
    And requests with the parts "c9 bad" are held back at both fronts

  Scenario: While several parts explain the crashes, only requests with all of them are held back
    Given a replica crashes during requests with the parts "c1 bad" of "front-1"
    And another replica crashes during requests with the parts "c1 bad" of "front-1"
    Then requests with the parts "c1 bad" are held back at both fronts
    And requests with the parts "c1" may be sent at both fronts
    When another replica crashes during requests with the parts "c2 bad" of "front-1"
    Then requests with the parts "c3 bad" are held back at both fronts
    And requests with the parts "c1" may be sent at both fronts

  Scenario: Crashes that one part explains do not count against the others
    # A sound request that is rerun beside each crash is there as often as the cause.
    Given a replica crashes during requests with the parts "a bad" of "front-1"
    And another replica crashes during requests with the parts "a bad" and "c5" of "front-1"
    And another replica crashes during requests with the parts "a bad" and "c5" of "front-2"
    Then requests with the parts "c5" may be sent at both fronts
    And requests with the parts "a bad" are held back at both fronts

  Scenario: Two parts that crash replicas at the same time
    Given a replica crashes during requests with the parts "c1 bad1" of "front-1"
    And another replica crashes during requests with the parts "c2 bad2" of "front-2"
    And another replica crashes during requests with the parts "c3 bad1" of "front-1"
    And another replica crashes during requests with the parts "c4 bad2" of "front-2"
    Then requests with the parts "c5 bad1" are held back at both fronts
    And requests with the parts "c5 bad2" are held back at both fronts

  Scenario: Replicas that end at the same moment count as one crash
    # A whole service, or a failure domain, ends for a reason that is no request; a popular part is in flight everywhere.
    Given 13 replicas crash at the same moment during requests with the parts "a" of "front-1"
    Then requests with the parts "a" may be sent at both fronts

  Scenario: A crash counts once, and not again after the part was cleared
    # Announcements are repeated for some seconds.
    Given a replica crashes during requests with the parts "a" of "front-1"
    And another replica crashes during requests with the parts "a" of "front-2"
    When a request with the parts "a" is answered for a while at "front-1"
    And all announcements are repeated
    Then requests with the parts "a" may be sent at both fronts

  Scenario: A part that has been cleared and crashes replicas later is held back
    Given a replica crashes during requests with the parts "b" of "front-1"
    And a request with the parts "b" is answered for a while at "front-1"
    When another replica crashes during requests with the parts "b" of "front-1"
    And another replica crashes during requests with the parts "b" of "front-1"
    Then requests with the parts "b" are held back at both fronts

  Scenario: One request tests a part, and counts as failed until it succeeds
    # The process that sends it may be killed before it sees what becomes of it.
    Given a replica crashes during requests with the parts "b" of "front-1"
    And another replica crashes during requests with the parts "b" of "front-1"
    When the time moves on by 3000 ms
    Then a request with the parts "b" would be sent as a test at "front-1" only
    When a request with the parts "b" is sent as a test at "front-1"
    Then requests with the parts "b" are held back for 60 seconds at both fronts
    When a request with the parts "b" is answered for a while at "front-1"
    Then requests with the parts "b" may be sent at both fronts

  Scenario: Another process tests a part that the first one gets no requests with
    Given a replica crashes during requests with the parts "b" of "front-1"
    And another replica crashes during requests with the parts "b" of "front-1"
    When the time moves on by 4000 ms
    Then a request with the parts "b" would be sent as a test at "front-2"

  Scenario: A request with other suspected parts is no test
    # If it crashed its replica, that would show nothing.
    Given a replica crashes during requests with the parts "b" of "front-1"
    And another replica crashes during requests with the parts "b d" of "front-1"
    When the time moves on by 3000 ms
    Then a request with the parts "b d" would be sent as a test at no front

  Scenario: A part without which nothing explains the crashes is held back for long
    Given a replica crashes during requests with the parts "a bad" of "front-1"
    And another replica crashes during requests with the parts "a bad" of "front-1"
    And another replica crashes during requests with the parts "a bad" of "front-1"
    When a request with the parts "a" is answered for a while at "front-2"
    Then requests with the parts "a bad" are held back for 60 seconds at both fronts

  Scenario: A process that joins is told of the parts that are held back
    Given a replica crashes during requests with the parts "a bad" of "front-1"
    And another replica crashes during requests with the parts "a bad" of "front-1"
    When the time moves on by 2100 ms
    And "front-3" joins
    Then requests with the parts "a bad" are held back at all fronts

  Scenario: A test that has shown nothing is taken back
    # Guards against a part that is held back for a minute and longer, since its one test was refused or cancelled.
    Given a replica crashes during requests with the parts "b" of "front-1"
    And another replica crashes during requests with the parts "b" of "front-1"
    When the time moves on by 3000 ms
    And a request with the parts "b" is sent as a test at "front-1"
    And the test at "front-1" ends without a verdict
    And the time moves on by 3000 ms
    Then a request with the parts "b" would be sent as a test at "front-1"

  Scenario: The process that tests a part terminates
    Given a replica crashes during requests with the parts "b" of "front-1"
    And another replica crashes during requests with the parts "b" of "front-1"
    When the time moves on by 3000 ms
    And a request with the parts "b" is sent as a test at "front-1"
    And "front-1" terminates
    And the time moves on by 4000 ms
    Then a request with the parts "b" would be sent as a test at "front-2"

  Scenario: Replicas that end in a burst, whatever they run
    # Guards against prompt parts of sound calls that are held back since they were in flight at some of the replicas.
    When 6 volleys of 5 replicas end, 400 ms apart, of which 3 had requests with the part "a" of "front-1"
    Then requests with the parts "a" may be sent at both fronts

  Scenario Outline: <parts> crashing part(s) among the calls of <fronts> fronts
    # The aims: five replicas a part, three requests later than 3 s after the fifth crash, and no sound request refused for long.
    Given <parts> crashing parts at 15 requests a second each, among the calls of <fronts> fronts
    When prompt parts are held back
    Then on average at most 5 replicas end for each part
    And at most 3 requests are sent later than 3 seconds after the fifth crash
    And at most 1 in a hundred sound requests is held back

    Examples:
      | parts | fronts |
      | 1     | 5      |
      | 2     | 5      |
      | 1     | 20     |

  Scenario: Half of the replicas end at once, five times, while the same parts are in flight everywhere
    Given half of the replicas end five times, among the calls of 5 fronts
    When prompt parts are held back
    Then at most 1 in a hundred sound requests is held back
