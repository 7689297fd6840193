Feature: A call to another process always ends

  A VM is replaced, and something else answers at its address: an error page, a JSON object of
  its own, or an answer to another call. The caller of the method waits for an answer that bears
  its call's number; if the wrong one were passed over, the call would never end, and the replica
  would be asked no more.

  Scenario Outline: <answer> ends the call as lost
    Given a process that answers calls with status <status> and '<body>'
    When a method is called there
    Then the call ends as "lost"

    Examples:
      | answer                   | status | body                                  |
      | an error page            | 503    | upstream unavailable                  |
      | a JSON error             | 404    | {"error":"no such path"}              |
      | JSON that is no answer   | 200    | {"state":"ok"}                        |
      | an answer to another     | 200    | {"jsonrpc":"2.0","id":-1,"result":1}  |
      | null                     | 200    | null                                  |

  Scenario: A call that reached nobody is known not to have been sent
    Given no process at the address
    When a method is called there
    Then the call ends as "notSent"
