Feature: The result of a chunk is that of one run
  Two agents run the same chunk, one of them taken for lost, and their engines answer differently. What callers read is all of
  one run, never a part of each, though both write their parts beside each other.

  Scenario: Two runs of a chunk are committed
    # Guards against a result that is put together from the parts of two runs, since both have the same items in the same places.
    Then these are the outcomes and what is read of 3 items, by what happens while run "a" and run "b" commit:
      | the results are | what happens                      | a         | b         | read  |
      | small           | nothing                           | committed | lostRace  | a a a |
      | large           | nothing                           | committed | lostRace  | a a a |
      | small           | the answer to a's commit is lost  | committed | lostRace  | a a a |
      | large           | the answers to all parts are lost | committed | lostRace  | a a a |
      | large           | a lapses after its parts          | lapsed    | committed | b b b |
      | large           | a lapses between its parts        | lapsed    | committed | b b b |
