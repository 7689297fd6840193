Feature: What the backend server gets next
	A caller's online request comes to an engine that is full of batch items. The engine knows no priorities and would make it wait until an item ends. The agent cancels a batch item, which gives its place back within a step and is resumed later; so the request starts at once and the batch item loses only time.

	Background:
		Given an engine that runs 8 requests at once and an agent that lets 4 wait

	Scenario: An online request meets an engine full of batch items
		Given 20 batch items are offered and all start that may
		When an online request of account "kiosk" is offered
		Then the online request starts at the latest when one batch item has left
		And the batch items that were taken back wait again

	Scenario: Batch work is held back while it makes online tokens slower
		The engine's steps take twice as long beside batch items. The online caller sees its answer come at half the speed. The agent measures it against online work alone, and lets ever fewer batch items run.
		Given 20 batch items are offered and all start that may
		And an online request of account "kiosk" runs
		When its tokens come every 2 ms without batch items and every 4 ms beside them, for 2000 tokens
		Then at most 1 batch item may run
		And 8 batch items may run 100 ms after the online request has ended

	Scenario: An account that floods the queue turns no other account away
		One account sends far more than its share and fills the queue. A request of another account then finds it full. The newest request of the flooding account is refused in its stead, "not run", and may be sent again.
		Given 8 online requests of account "flood" run
		And 4 online requests of account "flood" wait
		When an online request of account "kiosk" is offered
		Then a request of account "flood" is refused as "queueFull"
		And the request of account "kiosk" is the next to start

	Scenario: The wait of one account is not counted against another
		Given 8 online requests of account "flood" run
		And 4 online requests of account "flood" wait
		And the backend server takes 10 ms for each token
		When an online request of account "kiosk" with a deadline of 2600 ms is offered
		Then it is not refused

	Scenario: An account over its share leaves places free for the others
		One account sends far more than its share, its requests hold every place of the engine and take long. A request of another account is next in the queue, yet waits for one of them to end. While others are active, an account over its share leaves a quarter of the places free.
		Given an online request of account "kiosk" has ended a moment ago
		When 12 online requests of account "flood" are offered and have their first tokens
		And an online request of account "kiosk" is offered
		Then 6 requests of account "flood" run
		And the request of account "kiosk" has started

	Scenario: A backend server slower than its settings is noticed
		The settings promise a fast engine, the engine is slow. Callers would wait in the queue past their deadlines. The agent goes by what finished work took, and refuses at once with the time to come back.
		Given 8 online requests of account "kiosk" run
		And 2 online requests of account "kiosk" wait
		And the backend server takes 100 ms for each token
		When an online request of account "kiosk" with a deadline of 3000 ms is offered
		Then it is refused as "deadline" with a time to come back of at least 3000 ms

	Scenario: A long batch prompt gives way to an online request
		The engine has begun to compute a batch item's prompt of 100000 tokens when a caller's request comes. Beside it every step would take many times as long, and the caller would wait seconds for the first token although there are places left. The agent cancels the item, holds it back while online work is there, and starts it again afterwards.
		Given a batch item with a prompt of 100000 tokens has started
		When an online request of account "kiosk" is offered
		Then the long batch item is taken back
		And it does not start again while the online request runs
		And it starts again 100 ms after the online request has ended

	Scenario: A long batch prompt does not wait for ever
		An engine is never without online work. A batch item with a long prompt would give way for good and its job would never end. After a minute it gives way no longer.
		Given a batch item with a prompt of 100000 tokens has started
		When an online request of account "kiosk" is offered
		Then the long batch item is taken back
		And it starts again while the online request runs, 61 s after it was first held back
