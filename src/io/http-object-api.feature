Feature: What a call of the object API says about a change

  An operator's change, or a chunk's commit, goes out and the answer is an error, or never comes.
  Where the change may have taken effect, the outcome is unknown: the writer reads back. Where it
  can not have, it is unavailable: the writer may say that nothing was done.
  Naming the first as the second would make a later "nothing was accepted" untrue.

  Scenario Outline: A change that is answered with <answer> is <kind>
    Given an object API that answers with <answer>
    When an object is created through it
    Then the change's outcome is "<kind>"

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

  Scenario: What answers at the address is not the object API
    Given an object API that answers with status 200
    When a list is read from it
    Then the read's outcome is "unavailable"
