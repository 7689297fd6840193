Feature: A request that ends in an exception gives its place back
  Something in the entry throws while it carries a request. The connection is cut, as it must be; but if the request kept its
  place, it would count against its account for good, and a planned stop would wait for it until its time is over.

  Scenario: The account's place and the entry's own count
    Given an entry's frontend in which routing throws
    When a request is run there
    Then it rejects, its account's place is free, and nothing is open
