package org.jacinthlink.sidecar.stage

import kotlin.random.Random
import org.jacinthlink.api.HopAckItem
import org.jacinthlink.api.HopItem
import org.jacinthlink.api.HopStatus
import org.jacinthlink.api.RequestId
import org.jacinthlink.api.Reroute
import org.jacinthlink.api.SampledToken
import org.jacinthlink.api.StreamKey

/** Random schedule of messages, losses, repetitions and stage failures over simulated stages. */
internal class StageSchedule(private val random: Random, private val levels: Int) {
    private val instances =
        (0 until levels).flatMap { level ->
            (0 until if (level == 0) 1 else SPARES + 1).map {
                SimulatedStage(level, "s$level.$it", level == levels - 1)
            }
        }
    private val byName = instances.associateBy { it.route.address }
    private val messages = ArrayList<() -> Unit>()
    private val replaced = HashSet<SimulatedStage>()
    private val clients = (0 until 3).map { Client(it) }
    private var isFaulty = true

    val faults: List<String> get() = instances.flatMap { it.faults }

    fun run(actions: Int) {
        clients.forEach { it.feed() }
        repeat(actions) { act() }
        isFaulty = false
        repeat(MAX_ROUNDS) {
            if (clients.all { it.isComplete }) return
            repeat(200) { act() }
            clients.filterNot { it.isComplete }.forEach { it.renew() }
        }
    }

    fun results(): List<Pair<List<String>, List<String>>> =
        clients.map { it.tokens to SimulatedStage.reference(levels, it.prompt, TOKENS) }

    private fun act() {
        val stage = instances.random(random)
        when (random.nextInt(8)) {
            0, 1 -> if (stage.alive) stage.step(0)
            2 -> if (stage.alive) sendHops(stage)
            3 -> if (stage.alive) sendTokens(stage)
            7 -> if (isFaulty && random.nextInt(20) == 0) fail(stage)
            else -> deliver()
        }
    }

    private fun deliver() {
        if (messages.isEmpty()) return
        val index = random.nextInt(messages.size)
        // A repeated message stays in the network and arrives once more later.
        val isRepeated = isFaulty && random.nextInt(6) == 0
        val message = if (isRepeated) messages[index] else messages.removeAt(index)
        message()
    }

    private fun sendHops(stage: SimulatedStage) {
        val next = stage.state.readyStages().randomOrNull(random) ?: return
        val flight = stage.state.takeHops(next.instance)
        sendFlight(stage, byName.getValue(next.address), flight)
    }

    private fun sendFlight(from: SimulatedStage, to: SimulatedStage, flight: StageFlight) {
        messages += {
            when {
                !to.alive -> {
                    from.state.sendFailed(flight, to.route.instance, "dead")
                    clients.forEach { it.replace(to) }
                }
                else -> receive(from, to, flight)
            }
        }
    }

    private fun receive(from: SimulatedStage, to: SimulatedStage, flight: StageFlight) {
        val answers = flight.items.map { to.state.receive(it, 0) }
        if (isFaulty && random.nextInt(5) == 0) {
            sendFlight(from, to, flight)
        } else {
            messages += { acknowledge(from, flight, answers) }
        }
    }

    private fun acknowledge(from: SimulatedStage, flight: StageFlight, acks: List<HopAckItem>) {
        from.state.acknowledged(flight, acks)
    }

    private fun sendTokens(stage: SimulatedStage) {
        val head = stage.state.readyHeads().firstOrNull() ?: return
        val tokens = stage.state.takeTokens(head)
        messages += {
            stage.state.tokensSent(tokens)
            val isLost = isFaulty && random.nextInt(5) == 0
            if (!isLost) tokens.forEach { token -> clients.forEach { it.onToken(token) } }
        }
    }

    // Half of the failed stages are only frozen: their old messages still arrive later.
    private fun fail(stage: SimulatedStage) {
        if (stage.level == 0) return
        val others = instances.count { it.level == stage.level && it.alive && it !in replaced }
        if (stage in replaced || others < 2) return
        replaced += stage
        if (random.nextBoolean()) stage.alive = false
        clients.forEach { it.replace(stage) }
    }

    private inner class Client(number: Int) {
        val key = StreamKey(RequestId("r$number"), 0)
        val prompt = List(2 + random.nextInt(6)) { "p$number.$it" }
        val tokens = ArrayList<String>()
        private var epoch = 1
        private var route = (0 until levels).map { level -> usable(level) }

        val isComplete: Boolean get() = tokens.size == TOKENS

        private fun usable(level: Int) =
            instances.filter { it.level == level && it.alive && it !in replaced }.random(random)

        fun feed() {
            while (true) {
                val first = if (tokens.isEmpty()) 0 else prompt.size + tokens.size - 1
                val payloads = if (tokens.isEmpty()) prompt else listOf(tokens.last())
                val item = HopItem(key, epoch, first, payloads, route.map { it.route }, "head")
                val answer = route.first().state.receive(item, 0)
                if (answer.status != HopStatus.STALE_EPOCH) return
            }
        }

        fun onToken(token: SampledToken) {
            val isOwn = token.stream == key && token.epoch >= epoch
            val isNext = token.position == prompt.size + tokens.size
            if (!isOwn || !isNext || isComplete) return
            tokens += token.text
            if (!isComplete) feed()
        }

        fun replace(failed: SimulatedStage) {
            if (failed !in route || isComplete) return
            replaced += failed
            change(route.map { if (it == failed) usable(it.level) else it }, failed.level)
        }

        fun renew() = change(route, levels)

        // Other messages may arrive between two orders of one change.
        private fun change(newRoute: List<SimulatedStage>, informed: Int) {
            route = newRoute
            epoch++
            val changeEpoch = epoch
            for (level in 0 until informed) {
                val rest = newRoute.drop(level + 1).map { it.route }
                newRoute[level].state.reroute(Reroute(key, changeEpoch, rest))
                if (isFaulty) repeat(random.nextInt(3)) { deliverQuietly() }
            }
            if (!isComplete) feed()
        }

        private fun deliverQuietly() {
            if (random.nextBoolean()) instances.random(random).let { if (it.alive) it.step(0) }
        }
    }

    private companion object {
        const val SPARES = 2
        const val TOKENS = 6
        const val MAX_ROUNDS = 60
    }
}
