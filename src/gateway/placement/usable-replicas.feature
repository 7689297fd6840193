Feature: Replicas that calls can be expected to be served by
  Part of the replicas lose power, or fail all they get, while calls need all slots. Their slots look free.

  Scenario Outline: Free slots that serve nobody are not counted
    # Guards against an overload being taken for room, so that calls begin and are late.
    Given 3 replicas with 8 calls each, and 2 with none that <state>
    Then <count> replicas are usable

    Examples:
      | state                        | count |
      | cannot be reached            | 3     |
      | fail all of 20 requests      | 3     |
      | fail 2 of 20 requests        | 5     |
      | have had no request          | 5     |

  Scenario: No replica is usable
    # Guards against a service being given up although one of its replicas may be back.
    Given 0 replicas with 8 calls each, and 2 with none that cannot be reached
    Then 2 replicas are usable
