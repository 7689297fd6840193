Feature: A request marked as non-idempotent runs at most once
  A POST to the tyre status service books a tyre change. Its agent or its connection fails before, during or after the call.
  The entry never sends it a second time unless it is certain that the first did not run and will not; where nobody can say,
  the caller is told that the outcome is unknown. The service counts its runs.

  Scenario Outline: <trouble>
    Given a relayed fleet with 2 replicas
    When a non-idempotent call of 400 ms is made and <trouble>
    Then the call is answered with <status> as "<run>" and ran 1 times

    Examples:
      | trouble                                            | status | run     |
      | its agent is killed before it                      | 200    | -       |
      | its agent is killed during it                      | 502    | unknown |
      | its agent is killed and started again during it    | 502    | unknown |
      | its agent's connections go silent during it        | 200    | -       |
      | its agent's connections are cut during it          | 200    | -       |
      | nothing reaches its agent any more during it       | 502    | unknown |
      | its answer is lost                                 | 200    | -       |
      | its service closes the connection after it         | 502    | unknown |
      | its deadline passes during it                      | 504    | unknown |

  Scenario: A caller that goes away does not cut off a call that has begun
    Given a relayed fleet with 1 replicas
    When the caller of a non-idempotent call of 400 ms goes away
    Then the call is finished, and its answer can be read at the agent

  Scenario Outline: The header says <header>
    Client libraries print "false" in their own way. A value that was misread would run the generation again after its engine
    crashed under it; one that can not be read at all is refused before anything runs.
    Given a relayed fleet whose 2 engines crash before they answer
    When the engines get a request with the header "X-Citronyard-Idempotent: <header>"
    Then the caller is answered with <status> as "<run>", and the engines ran it <times> times

    Examples:
      | header | status | run     | times |
      | false  | 502    | unknown | 1     |
      | False  | 502    | unknown | 1     |
      | FALSE  | 502    | unknown | 1     |
      | no     | 400    | not-run | 0     |
