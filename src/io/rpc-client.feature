Feature: An RPC call always ends

  A VM is replaced, and an unrelated server responds at its address with an error page, a JSON object
  of its own, or the response to another call. The caller waits for a response with the id of its
  call; if the wrong one were ignored, the call would never end, and the replica would not be called
  again.

  Scenario Outline: A call that receives <answer> is lost
    Given a process that responds to calls with status <status> and '<body>'
    When a method is called there
    Then the call ends as "lost"

    Examples:
      | answer                   | status | body                                  |
      | an error page            | 503    | upstream unavailable                  |
      | a JSON error             | 404    | {"error":"no such path"}              |
      | unrelated JSON           | 200    | {"state":"ok"}                        |
      | another response         | 200    | {"jsonrpc":"2.0","id":-1,"result":1}  |
      | null                     | 200    | null                                  |

  Scenario: A call without a listener at its address is not sent
    Given no process at the address
    When a method is called there
    Then the call ends as "notSent"
