Feature: "Not run" is true
  A refusal carries "X-Citronyard-Run: not-run", and the caller sends the call elsewhere at once. If the call then ran after
  all, a barrier would open twice. So a refusal is given only when the backend server can not get the call any more: every
  place where it can be refused is tried here, and the service's own count is the witness.

  Scenario Outline: Refused because <reason>
    Given a relayed fleet with 1 replicas whose agents run 1 and queue 1 at once
    When a non-idempotent call is made while <reason>
    Then it is refused with <status> as "not-run", to be tried again after at least 1 second
    And it ran 0 times, also when everything that was held back arrives

    Examples:
      | reason                                              | status |
      | no replica is there                                 | 503    |
      | the agent is draining                               | 503    |
      | the service refuses connections                     | 503    |
      | the agent's queue is full                           | 429    |
      | its deadline passes in the queue                    | 429    |
      | its deadline passes in the queue out of reach       | 429    |

  Scenario Outline: Refused or lost at one replica and run at another: <trouble>
    The first replica's answer does not come. On a new connection its agent says that the call has not begun, and records that
    it never will; only then the other replica gets it. Afterwards the network delivers what it had held back.
    Given a relayed fleet with 2 replicas that are asked for their load every second
    When a non-idempotent call meets a replica where <trouble>
    Then the call is answered with 200 and ran 1 times
    And it ran 1 times, also when everything that was held back arrives

    Examples:
      | trouble                                        |
      | the request is held back in the network        |
      | the agent drains and its refusal is lost       |
      | nobody listens                                 |

  Scenario: Refused by every engine, which are full
    An engine without room answers 429 before it runs anything, and says when to come back. The caller learns the same.
    Given a relayed fleet whose 2 engines are full for 3 s
    When the engines get a request with the header "X-Citronyard-Idempotent: false"
    Then the caller is answered with 429 as "not-run", to come back after 3 s
    And the engines were asked at most 5 times

  Scenario: A refusal after a part was run
    One replica begins an answer and dies, the other refuses. "Not run" would be a lie.
    Given a relayed fleet with 2 replicas
    When a generation begins at one replica, which is killed, and the other drains
    Then its caller is told "run"
