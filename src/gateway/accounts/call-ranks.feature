Feature: Ranks of calls
  An account's priority goes before its route's. Under overload, calls that others outrank leave the places to them.

  Scenario Outline: A call gives way only while calls of a higher rank come to its service
    Given a call of rank <other> came to <service> <ago> ms ago
    Then a call of rank <own> to "engines" may wait for <share> of its time

    Examples:
      | other | service   | ago  | own | share |
      | 0     | "engines" | 100  | 1   | 0.75  |
      | 1     | "engines" | 100  | 1   | 1     |
      | 2     | "engines" | 100  | 1   | 1     |
      | 0     | "engines" | 3000 | 1   | 1     |
      | 0     | "desk"    | 100  | 2   | 1     |
