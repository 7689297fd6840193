Feature: Batch items under which replicas crash
  An item that is handed in for later never crashes a replica by itself. It is still owed, and replicas that end under it
  say nothing of calls with the same prompt.

  Scenario Outline: <crashes> replicas crash under an item
    # Guards against an item that lies untouched beside idle replicas, since the crashes under it count against it.
    Given an item with the parts "a b" under which <crashes> replicas have crashed, 400 ms apart
    When 1500 ms pass without a crash
    Then the item may be sent

    Examples:
      | crashes |
      | 3       |
      | 6       |
      | 12      |
      | 40      |

  Scenario: A replica that crashes under an item again and again does not get it several times a second
    Given an item with the parts "a b" under which 6 replicas have crashed, 400 ms apart
    Then the item may not be sent

  Scenario: What calls have suffered holds no item back
    # Guards against an item that waits for the one test of a prompt part, which may fail for any reason.
    Given calls with the parts "a b" under which 6 replicas have crashed
    Then such calls are held back
    And an item with the parts "a b" may be sent

  Scenario: What items have suffered holds no call back
    Given an item with the parts "a b" under which 12 replicas have crashed, 400 ms apart
    Then calls with the parts "a b" and calls with the same content may be sent

  Scenario: Items with a common part go one at a time until one is answered
    # Guards against all items of a job being sent into an outage that goes on.
    Given an item with the parts "a b" under which 3 replicas have crashed, 400 ms apart
    And another item with the parts "a c"
    When 1500 ms pass without a crash
    And the item is sent
    Then the other item may not be sent
    When the item is answered for a while
    Then the other item may be sent

  Scenario: An item that is refused delays the others for a short time only
    # Guards against items that wait for an answer that never comes: the run was refused, misdirected or cancelled.
    Given an item with the parts "a b" under which 3 replicas have crashed, 400 ms apart
    And another item with the parts "a c"
    When 1500 ms pass without a crash
    And the item is sent
    And 500 ms pass without a crash
    Then the other item may be sent

  Scenario: Items that go on meanwhile release those with a common part
    # Guards against all items of a route waiting, since two replicas ended for a reason of their own beside others at work.
    Given an item with the parts "a b" under which 1 replicas have crashed, 400 ms apart
    And another item with the parts "a c" that is answered
    When 2 other replicas crash under items with the parts "a d"
    And the other item is answered on
    Then an item with the parts "a e" may be sent
