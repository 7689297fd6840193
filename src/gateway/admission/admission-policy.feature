Feature: Decisions on single calls under scarcity
  Each decision is a pure function of what is known of the call, its owner and its service.

  Scenario Outline: Only known engines and pressing callers switch admission by target on
    Then a <kind> call with a target of <target> ms to a service "<service>" is admitted "<rule>"

    Examples:
      | kind   | target | service                                 | rule      |
      | stream | 300    | with engines whose callers press        | by target |
      | stream | 300    | with engines whose callers do not press | as before |
      | stream | 0      | with engines whose callers press        | as before |
      | stream | 300    | without engines whose callers press     | as before |
      | safe   | 300    | with engines whose callers press        | as before |

  Scenario Outline: A call with a target of 300 ms while <case>
    Then a call "<of>" that expects <wait> ms after <elapsed> ms is decided as <decision>

    Examples:
      | case                                   | of                       | wait | elapsed | decision  |
      | slots are free                         | of an owner over its share | 0  | 0       | begin     |
      | few calls wait                         | of anybody               | 120  | 0       | begin     |
      | its first event would be just late     | of anybody               | 180  | 0       | hold      |
      | it has waited for a fifth of its target | of anybody              | 180  | 60      | overdue   |
      | no wait at a front would help          | of anybody               | 280  | 0       | overdue   |
      | nobody else needs the room             | without scarcity         | 280  | 0       | late      |
      | its time would pass in the queue       | without scarcity         | 6000 | 0       | hopeless  |
      | its caller has been refused before     | that has come back       | 170  | 0       | begin     |
      | the overload lasts                     | that has come back to it | 120  | 0       | hold      |
      | its owner has its share                | of an owner over its share | 100 | 0      | overShare |
      | its owner asks for more than its share | of a pressing owner      | 120  | 0       | hold      |
      | a higher rank competes                 | that is outranked        | 120  | 60      | overdue   |
      | a higher rank competes                 | of the least share       | 120  | 0       | begin     |

  Scenario Outline: Slots are divided max-min fairly by weight: <case>
    Then <slots> slots for demands of "<demands>" by weights of "<weights>" are divided as "<shares>"

    Examples:
      | case                                 | slots | demands    | weights | shares     |
      | enough for all                       | 100   | 20, 30     | 1, 1    | 20, 30     |
      | what one leaves over goes to others  | 100   | 10, 80, 90 | 1, 1, 1 | 10, 45, 45 |
      | by weight                            | 90    | 90, 90     | 1, 2    | 30, 60     |
      | no slots                             | 0     | 5, 5       | 1, 1    | 0, 0       |
      | nobody                               | 10    |            |         |            |

  Scenario: A more urgent rank is served first, and a less urgent one keeps a small part
    Then of 100 slots, 2 owners of rank 0 that demand 80 each get 47.5 each, and 2 owners of rank 1 2.5 each

  Scenario Outline: A refused caller comes back <when>
    Then a caller with <left> ms left is told to come back after <least> to <most> ms while <load> calls arrive

    Examples:
      | when                                         | left | load | least | most |
      | when the queue has cleared                   | 5000 | few  | 200   | 230  |
      | as late as it honours during an overload     | 5000 | many | 833   | 1667 |
      | never beyond a third of its time             | 300  | few  | 50    | 100  |
      | at once when its time is up                  | 0    | many | 0     | 0    |

  Scenario: Callers refused at the same moment don't return together
    When 100 callers with 5000 ms left are refused at once while few calls arrive
    Then at most 20 of them return within the same 100 ms

  Scenario: The waiting line is bounded in number and bytes, and ordered by rank, return and arrival
    Given a line for 4 calls and 100 bytes
    When the calls "b: rank 0, 20 bytes; a: rank 1, 20 bytes; c: rank 0, 20 bytes, returned" join it
    Then the call "d: rank 0, 50 bytes" does not get in
    And the order of the line is "c, b, a"
    When "b" leaves
    Then the call "d: rank 0, 50 bytes" gets in
    And the order of the line is "c, d, a"

  Scenario Outline: A wait is that of the best of a sample
    Then waits of "<waits>" with samples of <size> give <expected> ms

    Examples:
      | waits               | size | expected |
      | 0, 100, 100, 100    | 4    | 0        |
      | 0, 100, 100, 100    | 1    | 75       |
      | 0, 100, 100, 100    | 2    | 56       |
      | 80                  | 3    | 80       |
      |                     | 3    | 0        |

  Scenario: A caller that has less time left than others of its route has come back
    Then callers with "5000, 4995, 3800, 5000, 4850" ms left have come back: "no, no, yes, no, yes"
