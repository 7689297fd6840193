Feature: Priority of calls by rank
  An account's priority takes precedence over its route's. Under overload, calls of a lower rank leave the slots to those
  of a higher one.

  Scenario Outline: A call yields only while calls of a higher rank arrive at its service
    Given a call of rank <other> arrived at <service> <ago> ms ago
    Then a call of rank <own> to "engines" may spend <share> of its remaining time in a queue

    Examples:
      | other | service   | ago  | own | share |
      | 0     | "engines" | 100  | 1   | 0.75  |
      | 1     | "engines" | 100  | 1   | 1     |
      | 2     | "engines" | 100  | 1   | 1     |
      | 0     | "engines" | 3000 | 1   | 1     |
      | 0     | "desk"    | 100  | 2   | 1     |
