Feature: The load does not wait for the answers

  A generator that waits for one answer before it sends the next request slows down together with the system it measures, and the latencies it leaves out are the worst ones. The load sends each request at its own moment and counts latency from that moment. What it calls a whole answer must be one.

  Scenario: Requests are sent though none has been answered yet
    Given an entry that answers nothing before 20 requests have arrived
    When a load of 40 calls a second runs for 1 second
    Then every planned request has a whole answer

  Scenario: A stream that ends without its end marker is no whole answer
    Given an entry whose streams end after the second token
    When a load of 20 streams a second runs for half a second
    Then every planned request is counted as cut

  Scenario: An arrival beyond the limit of open requests is left out, counted, and not sent later
    Given an entry that answers nothing before 5 requests have arrived
    When a load of 40 calls a second runs for 1 second with at most 5 open and 10 in all
    Then 10 requests have a whole answer and the others were left out

  Scenario: The same settings give the same load
    When a load is planned twice with seed 7 and once with seed 8
    Then the first two plans are equal and the third is not

  Scenario: Only entries on loopback are loaded
    When a load's settings name the entry "10.0.0.1:8080"
    Then the settings are refused
