Feature: When CI passes
  A test that fails for a real fault may be listed as known; CI then passes over just this one and prints it.
  If more slipped through than what is listed, a new fault would land unseen behind a known one.

  Scenario Outline: A run is judged
    Given a run of scenarios that ended as "<results>" with status <status>
    And KNOWN-RED.txt lists "<known>"
    When CI judges the run
    Then CI <verdict> and ends with "<counts>"

    Examples:
      | results            | status | known                                                 | verdict | counts             |
      | a PASSED, b PASSED | 0      |                                                       | passes  | 2 passed, 0 failed |
      | a PASSED, b FAILED | 1      |                                                       | fails   | 1 passed, 1 failed |
      | a PASSED, b FAILED | 1      | b ~ cause ~ issue                                     | passes  | 1 passed, 1 failed |
      | a FAILED, b FAILED | 1      | b ~ cause ~ issue                                     | fails   | 0 passed, 2 failed |
      | b FAILED, b FAILED | 1      | b ~ cause ~ issue                                     | fails   | 0 passed, 2 failed |
      | a PASSED, b PASSED | 0      | b ~ cause ~ issue                                     | passes  | 2 passed, 0 failed |
      | a PASSED           | 0      | b ~ cause ~ issue                                     | fails   | 1 passed, 0 failed |
      | b FAILED           | 1      | b ~ cause                                             | fails   | 0 passed, 1 failed |
      | a PASSED, b SKIPPED | 0     |                                                       | fails   | 1 passed, 1 failed |
      | a PASSED           | 1      |                                                       | fails   | 1 passed, 0 failed |
      |                    | 0      |                                                       | fails   | 0 passed, 0 failed |
      | a FAILED, b FAILED, c FAILED, d FAILED, e FAILED, f FAILED, g FAILED, h FAILED | 1 | a ~ x ~ 1, b ~ x ~ 2, c ~ x ~ 3, d ~ x ~ 4, e ~ x ~ 5, f ~ x ~ 6, g ~ x ~ 7, h ~ x ~ 8 | passes  | 0 passed, 8 failed |
      | a FAILED, b FAILED, c FAILED, d FAILED, e FAILED, f FAILED, g FAILED, h FAILED, i FAILED | 1 | a ~ x ~ 1, b ~ x ~ 2, c ~ x ~ 3, d ~ x ~ 4, e ~ x ~ 5, f ~ x ~ 6, g ~ x ~ 7, h ~ x ~ 8, i ~ x ~ 9 | fails   | 0 passed, 9 failed |
      | a FAILED, b FAILED, c FAILED, d FAILED, e FAILED, f FAILED, g FAILED, h FAILED, crowd-1 FAILED, crowd-2 FAILED | 1 | a ~ x ~ 1, b ~ x ~ 2, c ~ x ~ 3, d ~ x ~ 4, e ~ x ~ 5, f ~ x ~ 6, g ~ x ~ 7, h ~ x ~ 8, crowd-1 ~ x ~ 9, crowd-2 ~ x ~ 9 | passes  | 0 passed, 10 failed |
      | crowd-1 FAILED, crowd-2 FAILED | 1 | crowd-1 ~ x ~ 9 | fails | 0 passed, 2 failed |

  Scenario: What is passed over is printed
    Given a run of scenarios that ended as "b FAILED" with status 1
    And KNOWN-RED.txt lists "b ~ a fault in the lease ~ 12"
    When CI judges the run
    Then CI prints "Known red, passed over: b | a fault in the lease | 12"
