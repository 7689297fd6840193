Feature: Outcome of failed calls to the object API

  A change by an operator, or the commit of a chunk, is sent, and the response is an error or never
  arrives. If the change may have taken effect, its outcome is unknown, and the writer reads the
  object back. If it cannot have taken effect, the outcome is unavailable, and the writer may report
  that nothing was done. If the first were reported as the second, a later "nothing was accepted"
  would be false.

  Scenario Outline: A change answered by <answer> has the outcome <kind>
    Given an object API that answers with <answer>
    When an object is created through it
    Then the outcome of the change is "<kind>"

    Examples:
      | answer           | kind        |
      | status 500       | unknown     |
      | status 502       | unknown     |
      | status 200       | unknown     |
      | a cut connection | unknown     |
      | silence          | unknown     |
      | status 503       | unavailable |
      | status 412       | conflict    |
      | no listener      | unavailable |

  Scenario: An unrelated server at the address
    Given an object API that answers with status 200
    When a list is read from it
    Then the outcome of the read is "unavailable"
