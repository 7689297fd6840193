Feature: A malformed object ends no process
  An operator's tool writes an object that lacks what this system reads from it. The object API takes any value.
  Every entry that read its fields would stop, and stop again after each restart, so that all callers lose their service.
  A malformed object is logged and passed over; what was in force before stays in force.

  Scenario: An account without its keys
    Given an account "painel" with a key in force
    When the account "painel" is written without keySha256
    Then the key is still that of "painel"
    And a malformed object is logged

  Scenario: A malformed object in a whole list deletes nothing
    Given an account "painel" with a key in force
    When the whole configuration is listed with "painel" without keySha256
    Then the key is still that of "painel"

  Scenario Outline: Values that are passed over
    When an object of kind <kind> with '<value>' is written
    Then it is not in force
    And a malformed object is logged

    Examples:
      | kind          | value                                                                |
      | OnlineService | {"metadata":{"name":"x"}}                                            |
      | OnlineService | {"metadata":{"name":"x"},"spec":{"timeoutMs":"soon"}}                |
      | OnlineService | {"metadata":{"name":"x"},"spec":{"idempotentMethods":"GET"}}         |
      | ClientAccount | null                                                                 |
      | ClientAccount | {"metadata":{"name":"x"},"spec":{"keySha256":[null]}}                |
      | ClientAccount | {"metadata":{"name":"x"},"spec":{"keySha256":["00"],"share":-1}}     |
      | ServedModel   | {"spec":{"version":"v1"}}                                            |

  Scenario: A batch job without its spec
    Given a batch job without spec beside a whole one
    Then the coordinator finds the whole job alone
    And its feed reports the whole job alone
    And a malformed object is logged
