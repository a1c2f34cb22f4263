package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import org.jacinthlink.api.Configuration
import org.jacinthlink.api.Headers
import org.jacinthlink.api.ProtocolJson
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.WorkClass
import org.jacinthlink.cli.site.LocalSite
import org.jacinthlink.entry.admin.ChangeAnswer
import org.jacinthlink.runtime.http.PeerCall
import org.jacinthlink.runtime.http.PeerResult
import org.jacinthlink.runtime.http.peerClient
import org.jacinthlink.standins.KeyValueFaults
import org.jacinthlink.standins.Outage

// An accepted change is to be in force everywhere within this time at today's size.
private const val IN_FORCE_MS = 5_000L

class ConfigurationSpec :
    DescribeSpec({
        val fleet = ProcessSite().start()
        val client = peerClient()
        afterSpec { fleet.close() }

        /** Configuration that the process at [address] says is in force. */
        fun inForceAt(address: String): Configuration {
            val headers = mapOf(Headers.PEER_TOKEN to LocalSite.PEER_TOKEN)
            val call = PeerCall("GET", "http://$address/v1/config", headers = headers)
            val answer = client.call(call, 2_000, fresh = true) as PeerResult.Answered
            return ProtocolJson.decodeFromString(Configuration.serializer(), answer.body)
        }

        fun everywhere(check: (Configuration) -> Boolean): Boolean =
            fleet.launcher.processes.values
                .filter { it.isAlive }
                .all { check(inForceAt(it.address)) }

        fun workClass(targetMs: Long, name: String = "question") =
            WorkClass(name, targetMs, worth = 20)

        fun revisionOf(answer: PeerResult): Long {
            val body = answer.shouldBeInstanceOf<PeerResult.Answered>().body
            return ProtocolJson.decodeFromString(ChangeAnswer.serializer(), body).revision
        }

        describe("an accepted change") {
            it("is in force on every process within five seconds, as each process says") {
                val answer = fleet.putClass(fleet.entryAddress(0), workClass(4_000))
                val revision = revisionOf(answer)
                val change =
                    ProtocolJson.decodeFromString(
                        ChangeAnswer.serializer(),
                        (answer as PeerResult.Answered).body
                    )
                change.missing.shouldBeEmpty()
                eventually("the change is in force everywhere", IN_FORCE_MS) {
                    everywhere { it.revision >= revision }
                }
                everywhere { it.classes.getValue("question").targetMs == 4_000L } shouldBe true
            }
            // Guards against a change that another operator's change silently overwrites.
            it("is never lost when operators race on different classes") {
                val answers =
                    (0 until 12).map { index ->
                        CompletableFuture.supplyAsync {
                            val entry = fleet.entryAddress(index % 2)
                            fleet.putClass(entry, workClass(1_000L + index, "race-$index"))
                        }
                    }.map { it.get(60, TimeUnit.SECONDS) }
                val accepted =
                    answers.indices.filter { (answers[it] as PeerResult.Answered).isSuccess }
                eventually("all accepted changes are in force", IN_FORCE_MS) {
                    everywhere { configuration ->
                        accepted.all { configuration.classes["race-$it"]?.targetMs == 1_000L + it }
                    }
                }
                accepted.size shouldBe 12
            }
            it("is refused when it builds on an old revision") {
                val revision = fleet.configuration(fleet.entryAddress(0)).revision
                fleet.putClass(fleet.entryAddress(0), workClass(5_000), ifMatch = revision)
                    .resultCode() shouldBe null
                fleet.putClass(fleet.entryAddress(1), workClass(6_000), ifMatch = revision)
                    .resultCode() shouldBe ResultCode.CONFIGURATION_CONFLICT
            }
            // Guards against a change that is reported as failed although it took effect.
            it("is reported as accepted when the answer to its write is lost") {
                fleet.site.keyValue.setFaults(KeyValueFaults(loseAnswers = 1))
                val revision = revisionOf(fleet.putClass(fleet.entryAddress(0), workClass(7_000)))
                fleet.site.keyValue.setFaults(KeyValueFaults())
                eventually("the change is in force everywhere", IN_FORCE_MS) {
                    everywhere { it.revision >= revision }
                }
            }
        }

        describe("an outage of the key-value service") {
            // Guards against a process without configuration, or one that falls back to none.
            it("refuses changes, and a process that starts meanwhile gets the configuration") {
                val before = fleet.configuration(fleet.entryAddress(0))
                fleet.site.keyValue.setFaults(KeyValueFaults(outage = Outage.UNAVAILABLE))
                fleet.putClass(fleet.entryAddress(0), workClass(9_000)).resultCode() shouldBe
                    ResultCode.CONFIGURATION_UNAVAILABLE
                val settings = fleet.site.stages[2].settings
                fleet.process(settings.daemon.name).kill()
                fleet.site.restartSidecar(settings)
                fleet.process(settings.daemon.name).awaitHealthy()
                eventually("the new process has the configuration", IN_FORCE_MS) {
                    inForceAt(fleet.process(settings.daemon.name).address) == before
                }
                fleet.site.keyValue.setFaults(KeyValueFaults())
                val revision =
                    revisionOf(
                        CompletableFuture.supplyAsync {
                            var answer: PeerResult
                            do {
                                answer = fleet.putClass(fleet.entryAddress(0), workClass(9_500))
                            } while (answer.resultCode() != null)
                            answer
                        }.get(20, TimeUnit.SECONDS)
                    )
                eventually("a change after the outage is in force", IN_FORCE_MS) {
                    everywhere { it.revision >= revision }
                }
            }
        }
    })
