Feature: A request that crashes engines is not given to engine after engine
  A prompt makes every engine crash that gets it, and each crash takes down the other answers in that engine. The entry repeats
  the request, since one crash says little; after three it is the likely cause. The caller gets the final error at once, with
  when to come back and that it was run, instead of at its deadline.

  Scenario Outline: Every engine crashes <when>, stream <stream>
    Given a relayed fleet whose 3 engines crash <when>
    When the engines get a request with stream <stream> and a deadline of 20 s
    Then its engines ran it at most 3 times, and the caller is told that it was run

    Examples:
      | when                    | stream |
      | before they answer      | true   |
      | before they answer      | false  |
      | after their first token | true   |
      | after their first token | false  |
