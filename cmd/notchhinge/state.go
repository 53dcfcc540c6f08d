package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

type stateCmd struct {
	Show   stateShow   `cmd:"" help:"Print the state on a replica's disk as JSON. The replica must not be running."`
	Check  stateCheck  `cmd:"" help:"Check that the state on a replica's disk can be read and that its configuration is valid."`
	Export stateExport `cmd:"" help:"Write a backup of the state to a file."`
	Import stateImport `cmd:"" help:"Create a replica's disk from a backup, with the replica as the only voter. Use it if a majority of the disks is lost."`
}

// dataDir is the data directory of a replica that is not running.
type dataDir struct {
	Data string `help:"The replica's data_directory." required:"" type:"existingdir" placeholder:"DIR"`
}

// readState reads the state in the directory. It fails if there is none.
func (d dataDir) readState() (*storage.Recovered, error) {
	if _, err := os.Stat(filepath.Join(d.Data, "state")); err != nil {
		return nil, err // storage.Open would create a new state
	}
	store, recovered, err := storage.Open(d.Data, storage.Identity{})
	if err != nil {
		return nil, err
	}
	return recovered, store.Close()
}

type stateShow struct{ dataDir }

// Run prints the state without the configuration, which contains the API keys of tenants.
func (c stateShow) Run() error {
	recovered, err := c.readState()
	if err != nil {
		return err
	}
	type member struct{ ID, Name, Addr string }
	summary := struct {
		Member         string   `json:"member"`
		Founder        bool     `json:"founder"`
		IsVoter        bool     `json:"votes"`
		NextLogIndex   uint64   `json:"next_place"`
		Members        []member `json:"members"`
		Revision       uint64   `json:"revision"`
		ConfigLogIndex uint64   `json:"configuration_place"`
		ConfigBytes    int      `json:"configuration_bytes"`
		LeaseHolder    string   `json:"holder"`
		LeaseToken     uint64   `json:"fence"`
		WindowCount    int      `json:"usage_windows"`
		Promised       uint64   `json:"promised_round"`
		HasAccepted    bool     `json:"accepted_something"`
	}{
		Member: fmt.Sprintf("%016x", recovered.ID), Founder: recovered.IsFounder, IsVoter: recovered.State.Member(recovered.ID) != nil,
		NextLogIndex: recovered.State.NextIndex, Revision: recovered.State.Revision, ConfigLogIndex: recovered.State.ConfigIndex,
		ConfigBytes: len(recovered.State.Config), LeaseHolder: recovered.State.LeaseHolderName, LeaseToken: recovered.State.FencingToken,
		WindowCount: len(recovered.State.UsageWindows), Promised: recovered.Acceptor.Promised.Term, HasAccepted: recovered.Acceptor.Value != nil,
	}
	for _, m := range recovered.State.Members {
		summary.Members = append(summary.Members, member{fmt.Sprintf("%016x", m.ID), m.Name, m.Addr})
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(summary)
}

type stateCheck struct{ dataDir }

// Run checks that the state can be read, and that its configuration is valid and matches its digest and revision.
func (c stateCheck) Run() error {
	recovered, err := c.readState()
	if err != nil {
		return err
	}
	if recovered.State.Config != nil {
		conf, digest, err := fleetconfig.DecodeWithDigest(recovered.State.Config)
		if err == nil {
			err = conf.Validate()
		}
		if err == nil && (digest != recovered.State.Digest || conf.Revision != recovered.State.Revision) {
			err = errors.New("the configuration does not match its stored digest or revision")
		}
		if err != nil {
			return err
		}
	}
	fmt.Printf("next log index %d, revision %d, %d members: valid\n", recovered.State.NextIndex, recovered.State.Revision, len(recovered.State.Members))
	return nil
}

type stateExport struct {
	dataDir
	File string `help:"The backup to write; the file must not exist." required:"" placeholder:"FILE"`
}

// Run writes a backup. Only the owner of the file can read it, since it contains the API keys of tenants.
func (c stateExport) Run() error {
	recovered, err := c.readState()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(storage.EncodeBackup(&recovered.State)); err != nil {
		_ = f.Close() // the error of the write is returned
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

type stateImport struct {
	Data string `help:"The data_directory of the new replica; it must not contain a state." required:"" type:"path" placeholder:"DIR"`
	File string `help:"The backup to restore." required:"" type:"existingfile" placeholder:"FILE"`
	Name string `help:"The node_name of the machine." required:"" placeholder:"NAME"`
	Addr string `help:"The ip_address of the machine and the first port of its internal_port_range." required:"" placeholder:"IP:PORT"`
}

// Run creates the state from the backup, with a new random member id.
func (c stateImport) Run() error {
	if _, err := netip.ParseAddrPort(c.Addr); err != nil {
		return configError{fmt.Errorf("--addr: %w", err)}
	}
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := storage.DecodeBackup(b)
	if err != nil {
		return configError{fmt.Errorf("%s: %w", c.File, err)}
	}
	if err := storage.RestoreBackup(c.Data, s, replog.Member{ID: rand.Uint64() | 1, Name: c.Name, Addr: c.Addr}); err != nil {
		return err
	}
	fmt.Printf("%s is restored with next log index %d, revision %d, as the only voter; start it, and the other replicas with empty data directories\n",
		c.Name, s.NextIndex, s.Revision)
	return nil
}
