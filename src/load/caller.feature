Feature: The load's caller tells a whole answer from a part of one
  What the load program and the checkers count as answered rests on it: a part that passes for whole would hide a fault.

  Scenario: An answer ends
    # Guards against a cut answer that is counted as a whole one.
    Given an entry whose answers a scenario writes
    Then a caller takes its answers for this:
      | to       | the answer                       | taken for | text     |
      | a stream | text, a finish and an end marker | whole     | do BRAKE |
      | a stream | text and an end marker           | cut       | do BRAKE |
      | a stream | text and a finish                | cut       | do BRAKE |
      | a stream | text and an error                | cut       | do BRAKE |
      | a stream | text, and what can not be read   | cut       | do BRAKE |
      | a stream | text, ended within an event      | cut       | do BRAKE |
      | a stream | 204                              | cut       |          |
      | a stream | 502                              | error     | broken   |
      | a whole  | an object                        | whole     | do BRAKE |
      | a whole  | an object, cut                   | cut       |          |
      | a whole  | 204                              | cut       |          |
      | a call   | a text with a length             | whole     | do BRAKE |
      | a call   | a text with a length, cut        | cut       |          |
      | a call   | a text without a length          | whole     | do BRAKE |
      | a call   | a text without a length, reset   | cut       |          |
