package org.jacinthlink.cli.daemons

import org.jacinthlink.api.Success
import org.jacinthlink.cli.Command
import org.jacinthlink.standins.EngineSettings
import org.jacinthlink.standins.FaultProxySettings
import org.jacinthlink.standins.InstanceListSettings
import org.jacinthlink.standins.KeyValueSettings
import org.jacinthlink.standins.PlainServiceSettings
import org.jacinthlink.standins.WeightStoreSettings
import org.jacinthlink.standins.startEngineStandIn
import org.jacinthlink.standins.startFaultProxy
import org.jacinthlink.standins.startInstanceListStandIn
import org.jacinthlink.standins.startKeyValueStandIn
import org.jacinthlink.standins.startPlainServiceStandIn
import org.jacinthlink.standins.startWeightStoreStandIn

/** Commands that run the stand-ins of outside systems. */
internal fun standInCommands(): List<Command> =
    listOf(
        DaemonCommand(
            "standin-key-value",
            "Runs a stand-in of the key-value service",
            KeyValueSettings.serializer()
        ) { Success(startKeyValueStandIn(it)) },
        DaemonCommand(
            "standin-instance-list",
            "Runs a stand-in of the instance list",
            InstanceListSettings.serializer()
        ) { Success(startInstanceListStandIn(it)) },
        DaemonCommand(
            "standin-weight-store",
            "Runs a stand-in of the weight store",
            WeightStoreSettings.serializer()
        ) { Success(startWeightStoreStandIn(it)) },
        DaemonCommand(
            "standin-engine",
            "Runs a stand-in of a model engine",
            EngineSettings.serializer()
        ) { Success(startEngineStandIn(it)) },
        DaemonCommand(
            "standin-plain-service",
            "Runs a stand-in of a plain service",
            PlainServiceSettings.serializer()
        ) { Success(startPlainServiceStandIn(it)) },
        DaemonCommand(
            "fault-proxy",
            "Runs a TCP proxy that injects faults",
            FaultProxySettings.serializer()
        ) { Success(startFaultProxy(it)) }
    )
