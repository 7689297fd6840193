Feature: What became of a call or a job
  When a user complains, the engineer on call has an id and the logs. `citronctl explain` tells the story of the
  id over all processes and names the cause.

  Scenario Outline: The cause of a failed call
    Given the logs of <case>
    Then the story of "c1" has <lines> lines and its cause tells: <cause>

    Examples:
      | case                                    | lines | cause                                          |
      | a stream that broke off                 | 3     | at replica i-7, ended as lost (UND_ERR_SOCKET) |
      | a call to replicas that were full       | 4     | ended as refused                               |
      | a call that took longer than its route  | 2     | the time of its route                          |
      | a call that could not get a place in its time | 1 | would not have got a place in its time |
      | a call that would have been late        | 2     | a slot was expected in 210 ms, 3 ms after it came, with a target of 300 ms |
      | a call over its account's share of scarce slots | 2 | slots were scarce, and account acme had its share of them; |
      | a call over its account's share of scarce slots | 2 | its owner had 12 calls in flight over all processes, and a share of 11; |
      | an outranked call whose caller came back | 2    | calls of a higher rank than its 1 competed; its caller had been refused before; told to come back after 700 ms |
      | a call that found the waiting line full | 2     | too many calls waited at this process |
      | a call that is held back                | 1     | replicas have ended under requests with the same content, c0ffee |
      | a call with a quarantined prompt part   | 1     | requests with the same prompt parts, part-a1, part-b2 |
      | a call whose run was aborted for one    | 2     | requests with the same prompt parts, part-b2, before its own replica could |
      | a call without a route                  | 1     | no route for h/x in configuration 9            |
      | a call before the first configuration   | 1     | knew no configuration yet                      |
      | a call with an unknown key              | 1     | no account holds its API key in configuration 9 |
      | a call over its account's limit         | 1     | account acme was at its rate limit             |
      | a caller that left                      | 2     | closed its connection after 80 ms              |

  Scenario Outline: The cause of a job's trouble
    Given the logs of <case>
    Then the story of "j1" has <lines> lines and its cause tells: <cause>

    Examples:
      | case                                    | lines | cause                                          |
      | a job that did not fit                  | 1     | 900 tokens wait of 1000 allowed                |
      | a job while the object API was away     | 1     | nothing of the job was written                 |
      | a job that moved to another front       | 6     | run by front-1, then front-2                   |

  Scenario: The cause of an item's trouble
    Given the logs of an item that lost its replica
    Then the story of "j1-0" has 1 lines and its cause tells: the connection of its last run broke

  Scenario: Lines of a collector, and lines that are none
    Given the logs of a stream that broke off, each with a collector's words before it, and some garbage
    Then the story of "c1" has 3 lines and its cause tells: ended as lost
