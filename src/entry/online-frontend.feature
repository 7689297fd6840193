Feature: A request that ends in an exception gives its place back
  Something in the entry throws while it carries a request. The connection is cut, as it must be; but if the request kept its
  place, it would count against its account for good, and a planned stop would wait for it until its time is over.

  Scenario: An answer that has come within a pause of the entry is delivered though the deadline has passed
    # Guards against callers who are told that their deadline has passed while their whole answer waits to be read.
    Given an entry's frontend whose agent answers, after which this process is paused for 500 ms
    When a request with a deadline of 300 ms is run there
    Then it has the whole answer

  Scenario: The account's place and the entry's own count
    Given an entry's frontend in which routing throws
    When a request is run there
    Then it rejects, its account's place is free, and nothing is open
